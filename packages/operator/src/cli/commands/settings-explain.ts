import { type TreeKey, treeSchema } from "@pebbledale/core";
import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { formatTable, OperatorError } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale settings explain [KEY]`: prints the value of a key, or of all keys, and the line that sets it. */
export class SettingsExplainCommand extends OperatorCommand {
    static override paths = [["settings", "explain"]];
    static override usage = Command.Usage({
        category: "Settings",
        description: "Print a value in force and the line it came from",
        examples: [["One key", "$0 settings explain lease.duration --site luzon/pasig --class batch"]],
    });

    key = Option.String({ name: "KEY", required: false });
    site = Option.String("--site", "", { description: "REGION/SITE" });
    workloadClass = Option.String("--class", { description: "A workload class of the site" });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { fetchSettings, parseSite, parseStoredTree } = await import("../../settings/index.js");
        const keys = Object.keys(treeSchema) as TreeKey[];
        if (this.key !== undefined && !keys.includes(this.key as TreeKey)) {
            throw new OperatorError("bad-settings", `no such key: ${this.key}`);
        }
        const path = { ...parseSite(this.site), workloadClass: this.workloadClass };
        const stored = await fetchSettings(values);
        const tree = parseStoredTree(stored);
        const rows = keys.filter(key => this.key === undefined || key === this.key).map(key => tree.explain(key, path));
        if (this.json) {
            this.print(JSON.stringify({ revision: stored.revision, values: rows }));
            return ExitCode.Done;
        }
        const cells = rows.map(row => [row.key, row.value, row.section, row.line === 0 ? "" : `line ${row.line}`]);
        this.print(formatTable(["KEY", "VALUE", "FROM", "LINE"], cells));
        return ExitCode.Done;
    }
}
