import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import * as typanion from "typanion";
import { formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale settings history`: prints the accepted revisions with author and note, newest first. */
export class SettingsHistoryCommand extends OperatorCommand {
    static override paths = [["settings", "history"]];
    static override usage = Command.Usage({
        category: "Settings",
        description: "List accepted revisions, newest first",
    });

    limit = Option.String("--most", "20", { description: "How many", validator: typanion.isNumber() });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { fetchHistory } = await import("../../settings/index.js");
        const revisions = await fetchHistory(values, this.limit);
        if (this.json) {
            const rows = revisions.map(({ revision, author, note, acceptedAt }) => ({
                revision,
                author,
                note,
                acceptedAt,
            }));
            this.print(JSON.stringify({ revisions: rows }));
            return ExitCode.Done;
        }
        const cells = revisions.map(entry => [String(entry.revision), entry.acceptedAt, entry.author, entry.note]);
        this.print(formatTable(["REVISION", "ACCEPTED", "AUTHOR", "NOTE"], cells));
        return ExitCode.Done;
    }
}
