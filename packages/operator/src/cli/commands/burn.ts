import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { writeFileSync } from "node:fs";
import { formatShare, formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale report burn`: prints how fast each workload class uses up its error budget. */
export class BurnCommand extends OperatorCommand {
    static override paths = [["report", "burn"]];
    static override usage = Command.Usage({
        category: "Watch",
        description: "Print the service-level burn of each service over several windows",
        examples: [["A page with a chart", "$0 report burn --site luzon/pasig --html burn.html"]],
    });

    site = Option.String("--site", "", { description: "REGION/SITE whose objective counts" });
    html = Option.String("--html", { description: "Write one self-contained page with a chart to this file" });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { fetchBurn, renderBurnPage } = await import("../../report/index.js");
        const report = await fetchBurn(values, this.site);
        if (this.html !== undefined) {
            writeFileSync(this.html, renderBurnPage(report));
        }
        if (this.json) {
            this.print(JSON.stringify(report));
            return ExitCode.Done;
        }
        const rows = report.rows.map(row => [
            row.workloadClass,
            `${row.windowMinutes} min`,
            String(row.total),
            String(row.bad),
            row.burnRate.toFixed(2),
            formatShare(row.budgetLeft),
        ]);
        this.print(
            `objective ${formatShare(report.objective)}, ${report.answered} of ${report.asked} gateways answered`,
        );
        this.print(formatTable(["SERVICE", "WINDOW", "REQUESTS", "BAD", "BURN", "BUDGET LEFT"], rows));
        return ExitCode.Done;
    }
}
