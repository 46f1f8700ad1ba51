import { ExitCode } from "@pebbledale/runtime";
import { Command } from "clipanion";
import { formatShare, formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

/** `pebbledale status`: prints the state of each scheduler and shard. Fails if no shard has an owner that answers. */
export class StatusCommand extends OperatorCommand {
    static override paths = [["status"]];
    static override usage = Command.Usage({ category: "Watch", description: "Print what each site reports" });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { fetchStatuses, ownedShards } = await import("../../jobs/index.js");
        const schedulers = await fetchStatuses(values);
        const shards = ownedShards(schedulers);
        if (this.json) {
            this.print(JSON.stringify({ schedulers, shards }));
            return ExitCode.Done;
        }
        const processes = schedulers.map(({ address, status }) => [
            status?.process ?? "",
            address,
            status === undefined ? "no answer" : `${status.region}/${status.site}`,
            status?.dataHall ?? "",
            status === undefined ? "" : String(status.revision),
        ]);
        this.print(formatTable(["SCHEDULER", "ADDRESS", "SITE", "DATA HALL", "SETTINGS"], processes));
        this.print("");
        const rows = shards.map(({ owner, shard }) => [
            shard.shard,
            owner.process,
            String(shard.epoch),
            `${shard.workers.filter(worker => worker.open).length}/${shard.workers.length}`,
            String(shard.running),
            String(shard.queued),
            formatShare(shard.packing),
            shard.journalStalled > 0 ? `stalled ${Math.round(shard.journalStalled)} ms` : "ok",
        ]);
        const head = ["SHARD", "OWNER", "EPOCH", "WORKERS OPEN", "TASKS", "QUEUED", "PACKING", "JOURNAL"];
        this.print(formatTable(head, rows));
        return shards.length === 0 ? ExitCode.Failed : ExitCode.Done;
    }
}
