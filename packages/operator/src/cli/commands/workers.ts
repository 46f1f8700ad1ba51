import { ExitCode, type WorkerStatus } from "@pebbledale/runtime";
import { Command } from "clipanion";
import { formatTable } from "../../output/index.js";
import { OperatorCommand, type OperatorValues } from "../operator-command.js";

const stateOf = (worker: WorkerStatus): string => {
    if (worker.quarantined) {
        return "quarantined";
    }
    return worker.leaving ? "leaving" : worker.open ? "open" : "closed";
};

/** `pebbledale workers`: prints each worker as its shard's owner sees it. */
export class WorkersCommand extends OperatorCommand {
    static override paths = [["workers"]];
    static override usage = Command.Usage({ category: "Watch", description: "Print each worker as its owner sees it" });

    protected override async executeWithSettings(values: OperatorValues): Promise<ExitCode> {
        const { fetchStatuses, ownedShards } = await import("../../jobs/index.js");
        const workers = ownedShards(await fetchStatuses(values)).flatMap(({ shard }) => shard.workers);
        if (this.json) {
            this.print(JSON.stringify({ workers }));
            return ExitCode.Done;
        }
        const rows = workers.map(worker => [
            worker.worker,
            worker.dataHall,
            worker.rack,
            stateOf(worker),
            String(worker.tasks),
            `${worker.free.processorThousandths / 1000}/${worker.capacity.processorThousandths / 1000}`,
            `${worker.free.memoryMebibytes}/${worker.capacity.memoryMebibytes}`,
            `${worker.free.slots}/${worker.capacity.slots}`,
        ]);
        this.print(
            formatTable(["WORKER", "DATA HALL", "RACK", "STATE", "TASKS", "CPU FREE", "MIB FREE", "SLOTS FREE"], rows),
        );
        return ExitCode.Done;
    }
}
