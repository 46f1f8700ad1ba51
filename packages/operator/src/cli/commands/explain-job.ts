import { ExitCode } from "@pebbledale/runtime";
import { Command, Option } from "clipanion";
import { formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/**
 * `pebbledale explain JOB`: prints each decision about a job and its reason, in order. With `--log FILE`, which may be repeated, it prints
 * what the logs of entry VMs say about the job, and needs neither settings nor a running cell.
 */
export class ExplainJobCommand extends OperatorCommand {
    static override paths = [["explain"]];
    static override usage = Command.Usage({
        category: "Watch",
        description: "Print each decision about a job and its reason",
        examples: [["From logs of entry VMs", "$0 explain 0123456789abcdef --log vm-1.log --log vm-2.log"]],
    });

    job = Option.String({ name: "JOB" });
    logs = Option.Array("--log", {
        description: "Read the logs of entry VMs from this file, in place of asking the owner",
    });

    override execute(): Promise<number> {
        const files = this.logs ?? [];
        return files.length > 0 ? this.reportErrors(() => this.#explainFromLogs(files)) : super.execute();
    }

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

    async #explainFromLogs(files: readonly string[]): Promise<ExitCode> {
        const { formatTimeline, readJobTimeline } = await import("../../job-log/index.js");
        const timeline = await readJobTimeline(this.job, files);
        this.print(this.json ? JSON.stringify({ job: this.job, ...timeline }) : formatTimeline(timeline));
        if (timeline.unreadable > 0) {
            const places = timeline.examples.map(({ file, line }) => `${file}:${line}`).join(", ");
            this.context.stderr.write(
                `${timeline.unreadable} of ${timeline.lines} lines are no log lines: ${places}\n`,
            );
        }
        return timeline.rows.length > 0 ? ExitCode.Done : ExitCode.Failed;
    }
}
