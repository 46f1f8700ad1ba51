import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale explain JOB`: prints each decision about a job and its reason, in order. */
export class ExplainJobCommand extends OperatorCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        category: "Watch",
        description: "Print each decision about a job and its reason",
    });

    job = Option.String({ name: "JOB" });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { fetchJob } = await import("../../jobs/index.js");
        const { view, history } = await fetchJob(values, this.job);
        if (this.json) {
            this.print(JSON.stringify({ job: view.job, state: view.state, decisions: history }));
            return ExitCode.Done;
        }
        this.print(
            formatTable(["AT", "DECISION", "REASON"], history.map(entry => [entry.at, entry.decision, entry.reason])),
        );
        return ExitCode.Done;
    }
}
