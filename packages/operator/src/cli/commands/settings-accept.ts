import { diffSettings } from "@pebbledale/core";
import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { userInfo } from "node:os";
import * as typanion from "typanion";
import { formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale settings accept FILE --base REVISION`: puts a tree in force if REVISION is still the current one. */
export class SettingsAcceptCommand extends OperatorCommand {
    static override paths = [["settings", "accept"]];
    static override usage = Command.Usage({
        category: "Settings",
        description: "Put a tree in force",
        details:
            "The revision that was edited is named with --base; if it is no longer in force, nothing changes and the difference is shown.",
    });

    file = Option.String({ name: "FILE" });
    base = Option.String("--base", {
        required: true,
        description: "The revision that was edited",
        validator: typanion.isNumber(),
    });
    note = Option.String("--note", "", { description: "Why" });
    author = Option.String("--author", userInfo().username, { description: "Who" });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { acceptTree, fetchSettings, parseStoredTree, readTreeFile } = await import("../../settings/index.js");
        const { text, parsed } = readTreeFile(this.file);
        if (parsed.isErr()) {
            this.showFindings(parsed.error);
            return ExitCode.Failed;
        }
        const outcome = await acceptTree(values, { text, base: this.base, author: this.author, note: this.note });
        if (outcome.kind === "accepted") {
            const { revision } = outcome.stored;
            this.print(this.json ? JSON.stringify({ accepted: true, revision }) : `revision ${revision} is in force`);
            return ExitCode.Done;
        }
        if (outcome.kind === "too-large") {
            this.showError("settings-too-large", `${outcome.bytes} bytes, ${outcome.most} at the most`);
            return ExitCode.Failed;
        }
        const { current } = outcome;
        this.showError(
            "settings-superseded",
            `revision ${current?.revision ?? 0} is in force, ${current?.author ?? "nobody"} accepted it`,
        );
        const before = this.base === 0 ? undefined : await fetchSettings(values, this.base).catch(() => undefined);
        const rows = diffSettings(parseStoredTree(before), parseStoredTree(current));
        if (this.json) {
            this.print(JSON.stringify({ accepted: false, current: current?.revision ?? 0, changedSince: rows }));
        }
        else {
            const cells = rows.map(row => [row.section, row.key, row.before ?? "", row.after ?? ""]);
            this.print(formatTable(["SECTION", "KEY", `AT ${this.base}`, "NOW"], cells));
        }
        return ExitCode.Failed;
    }
}
