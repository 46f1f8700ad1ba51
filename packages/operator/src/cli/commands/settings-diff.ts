import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale settings diff FILE`: prints how a file differs from the settings tree in force. */
export class SettingsDiffCommand extends OperatorCommand {
    static override paths = [["settings", "diff"]];
    static override usage = Command.Usage({
        category: "Settings",
        description: "Print what a file would change, and its findings",
    });

    file = Option.String({ name: "FILE" });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { diffWithCurrent, readTreeFile } = await import("../../settings/index.js");
        const { parsed } = readTreeFile(this.file);
        if (parsed.isErr()) {
            this.showFindings(parsed.error);
            return ExitCode.Failed;
        }
        const { base, rows } = await diffWithCurrent(values, parsed.value);
        if (this.json) {
            this.print(JSON.stringify({ base, differences: rows }));
            return ExitCode.Done;
        }
        const cells = rows.map(row => [row.section, row.key, row.before ?? "", row.after ?? ""]);
        this.print(`against revision ${base}\n${formatTable(["SECTION", "KEY", "BEFORE", "AFTER"], cells)}`);
        return ExitCode.Done;
    }
}
