/** Point 2: a task never runs in two places at once. */
import { pause, waitUntil } from "../../cell/index.js";
import { findOverlaps } from "../../checks/index.js";
import type { Proof } from "../types.js";
import { createJob, submitAll, waitForAll, waitTimeout } from "./workload.js";

const jobCount = 6;

/**
 * The old owner is cut from the platform and still reaches the workers where the tasks run; the new owner is cut from
 * just these workers. The tasks run longer than the old owner may renew.
 */
export const exclusiveExecutionProof: Proof = {
    point: 2,
    name: "a task runs in one place at a time",
    failures:
        "old owner cut from the platform goes on renewing, new owner cut from the workers; then a frozen owner wakes",
    protection: "wait for a former owner's leases",
    cell: {},
    async run(cell) {
        const work = Array.from(
            { length: jobCount },
            (_, index) =>
                createJob(`task-${index}`, {
                    payload: { runMilliseconds: 60_000 },
                    size: { processors: 10, memoryMebibytes: 1_000 },
                }),
        );
        const ids = await submitAll(cell, work);
        const listStarts = () => cell.workerAudit().filter(line => line.event === "start");
        await waitUntil("all tasks run", waitTimeout, () => listStarts().length >= jobCount);
        const busyWorkers = new Set(listStarts().map(line => String(line.worker)));
        const owner = await cell.ownerOf() ?? "";
        const epoch = Math.max(
            ...(await cell.schedulerStatuses()).flatMap(status => status.shards.map(shard => Number(shard.epoch))),
        );
        // Two of the four workers stay reachable for the new owner, so that there is room to run a task twice.
        const disconnectedWorkers = [...busyWorkers].slice(0, 2);
        for (const worker of disconnectedWorkers) {
            await cell.controlWorker({ worker, action: "faults", faults: { cutFromEpoch: epoch + 1 } });
        }
        cell.relays.get(owner)?.setDisconnected(true);
        const affectedTasks = listStarts().filter(line => disconnectedWorkers.includes(String(line.worker))).map(line =>
            String(line.task)
        );
        await waitUntil("another scheduler owns the shard", waitTimeout, async () => await cell.ownerOf() !== owner);
        await waitUntil(
            "the tasks of the cut workers run again",
            waitTimeout,
            () => affectedTasks.every(task => listStarts().filter(line => line.task === task).length >= 2),
        );
        // Frozen beyond its lease and woken again, the owner must not place as if nothing had happened.
        const secondOwner = await cell.ownerOf() ?? "";
        cell.relays.get(owner)?.setDisconnected(false);
        cell.schedulers.get(secondOwner)?.suspend();
        await waitUntil(
            "a third period of ownership begins",
            waitTimeout,
            async () => (await cell.ownerOf() ?? secondOwner) !== secondOwner,
        );
        cell.schedulers.get(secondOwner)?.resume();
        await pause(1_000);
        for (const id of ids.values()) {
            await cell.caller.send({ method: "DELETE", path: `/jobs/${id}` }).catch(() => undefined);
        }
        const views = await waitForAll(cell, ids.values());
        const overlaps = findOverlaps(cell.workerAudit());
        return {
            breaches: overlaps.map(overlap => `${overlap.task} ran on ${overlap.workers.join(" and ")} at once`),
            evidence:
                `${listStarts().length} starts of ${jobCount} tasks, ${affectedTasks.length} of them run again elsewhere, ${views.length} ended`,
            isMeaningful: affectedTasks.length > 0 && views.length === jobCount,
        };
    },
};
