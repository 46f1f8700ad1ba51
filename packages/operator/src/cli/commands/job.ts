import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale job JOB`: prints a job as its caller sees it. */
export class JobCommand extends OperatorCommand {
    static override paths = [["job"]];
    static override usage = Command.Usage({ category: "Watch", description: "Print a job, by id or as key:KEY" });

    job = Option.String({ name: "JOB" });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { fetchJob } = await import("../../jobs/index.js");
        const { view } = await fetchJob(values, this.job);
        if (this.json) {
            this.print(JSON.stringify(view));
            return ExitCode.Done;
        }
        const rows = [
            ["job", view.job],
            ["key", view.key],
            ["state", view.state],
            ["ran", view.ran],
            ["reason", view.reason],
            ["attempts", String(view.attempts)],
            ["workers", view.workers.join(", ")],
        ];
        this.print(formatTable(["FIELD", "VALUE"], rows));
        return ExitCode.Done;
    }
}
