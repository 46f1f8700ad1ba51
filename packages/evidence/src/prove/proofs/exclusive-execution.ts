/** Proof of guarantee 2. */
import { pause, waitUntil } from "../../cell/index.js";
import { findOverlaps } from "../../checks/index.js";
import type { Proof } from "../types.js";
import { createJob, submitAll, waitForAll, waitTimeout } from "./workload.js";

const jobCount = 6;

/**
 * A task never runs on two workers at the same time. The former owner loses the platform but still reaches the workers
 * that run the tasks; the new owner cannot reach these workers and has to restart the tasks on others. The tasks run
 * longer than the former owner is allowed to renew their leases. Then the new owner is suspended until a third one has
 * taken over, and resumed.
 */
export const exclusiveExecutionProof: Proof = {
    point: 2,
    name: "a task runs in one place at a time",
    failures:
        "old owner cut from the platform goes on renewing, new owner cut from the workers; then a frozen owner wakes",
    protection: "wait for a former owner's leases",
    cell: {},
    async run(cell) {
        const submissions = Array.from(
            { length: jobCount },
            (_, index) =>
                createJob(`task-${index}`, {
                    payload: { runMilliseconds: 60_000 },
                    size: { processors: 10, memoryMebibytes: 1_000 },
                }),
        );
        const ids = await submitAll(cell, submissions);
        const listStarts = () => cell.workerAudit().filter(line => line.event === "start");
        await waitUntil("all tasks run", waitTimeout, () => listStarts().length >= jobCount);
        const busyWorkers = new Set(listStarts().map(line => String(line.worker)));
        const owner = await cell.ownerOf() ?? "";
        const epoch = Math.max(
            ...(await cell.schedulerStatuses()).flatMap(status => status.shards.map(shard => Number(shard.epoch))),
        );
        // The new owner still reaches two of the four workers, so there is capacity to run a task a second time.
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
        // Resumed after its lease has expired, the second owner must not continue to place tasks.
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
