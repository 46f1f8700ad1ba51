/** Point 2: a task never runs in two places at once. */
import { pause, until } from "../../cell/index.js";
import { findOverlaps } from "../../checks/index.js";
import type { Proof } from "../types.js";
import { patience, submitAll, taskJob, waitAll } from "./work.js";

const jobs = 6;

/**
 * The old owner is cut from the platform and still reaches the workers where the tasks run; the new owner is cut from
 * just these workers. The tasks run longer than the old owner may renew.
 */
export const onePlaceProof: Proof = {
    point: 2,
    name: "a task runs in one place at a time",
    failures:
        "old owner cut from the platform goes on renewing, new owner cut from the workers; then a frozen owner wakes",
    protection: "wait for a former owner's leases",
    cell: {},
    async run(cell) {
        const work = Array.from(
            { length: jobs },
            (_, index) =>
                taskJob(`task-${index}`, {
                    payload: { runMilliseconds: 60_000 },
                    size: { processors: 10, memoryMebibytes: 1_000 },
                }),
        );
        const ids = await submitAll(cell, work);
        const startsOf = () => cell.workerAudit().filter(line => line.event === "start");
        await until("all tasks run", patience, () => startsOf().length >= jobs);
        const busy = new Set(startsOf().map(line => String(line.worker)));
        const owner = await cell.ownerOf() ?? "";
        const epoch = Math.max(
            ...(await cell.statuses()).flatMap(status => status.shards.map(shard => Number(shard.epoch))),
        );
        // Two of the four workers stay reachable for the new owner, so that there is room to run a task twice.
        const cut = [...busy].slice(0, 2);
        for (const worker of cut) {
            await cell.controlWorker({ worker, action: "faults", faults: { cutFromEpoch: epoch + 1 } });
        }
        cell.relays.get(owner)?.setCut(true);
        const cutTasks = startsOf().filter(line => cut.includes(String(line.worker))).map(line => String(line.task));
        await until("another scheduler owns the shard", patience, async () => await cell.ownerOf() !== owner);
        await until(
            "the tasks of the cut workers run again",
            patience,
            () => cutTasks.every(task => startsOf().filter(line => line.task === task).length >= 2),
        );
        // Frozen beyond its lease and woken again, the owner must not place as if nothing had happened.
        const second = await cell.ownerOf() ?? "";
        cell.relays.get(owner)?.setCut(false);
        cell.schedulers.get(second)?.freeze();
        await until(
            "a third period of ownership begins",
            patience,
            async () => (await cell.ownerOf() ?? second) !== second,
        );
        cell.schedulers.get(second)?.thaw();
        await pause(1_000);
        for (const id of ids.values()) {
            await cell.caller.send({ method: "DELETE", path: `/jobs/${id}` }).catch(() => undefined);
        }
        const views = await waitAll(cell, ids.values());
        const overlaps = findOverlaps(cell.workerAudit());
        return {
            breaches: overlaps.map(overlap => `${overlap.task} ran on ${overlap.workers.join(" and ")} at once`),
            evidence:
                `${startsOf().length} starts of ${jobs} tasks, ${cutTasks.length} of them run again elsewhere, ${views.length} ended`,
            isMeaningful: cutTasks.length > 0 && views.length === jobs,
        };
    },
};
