/** Proof of guarantee 1. */
import { pause } from "../../cell/index.js";
import { countOverCapacity } from "../../checks/index.js";
import type { Proof } from "../types.js";
import { createJob, killOwner, submitAll, waitForAll } from "./workload.js";

const jobCount = 120;

/** Every twentieth task runs ten times as long as the others and uses twice its grant. */
const payloadOf = (index: number) =>
    index % 20 === 0 ? { runMilliseconds: 1_500, usesProcessors: 40 } : { runMilliseconds: 150 };

/**
 * The grants on a VM never exceed its capacity. More jobs are submitted than fit at once, while the shard's owner is
 * killed, the platform is unavailable and then slow, and one worker fails every task.
 */
export const capacityProof: Proof = {
    point: 1,
    name: "no VM is given more than it has",
    failures:
        "owner killed, platform down and slow, lost answers, a worker that fails all it starts, tasks that use more",
    protection: "counting of grants",
    cell: {},
    async run(cell) {
        const size = { processors: 20, memoryMebibytes: 30_000 };
        const submissions = Array.from(
            { length: jobCount },
            (_, index) => createJob(`job-${index}`, { size, payload: payloadOf(index) }),
        );
        const submitting = submitAll(cell, submissions);
        await cell.controlWorker({ worker: "worker-0", action: "faults", faults: { failsAll: true } });
        await cell.controlPlatform({ loseAnswers: 3 });
        const [ids] = await Promise.all([submitting, killOwner(cell)]);
        await cell.controlPlatform({ outage: true });
        await pause(800);
        await cell.controlPlatform({ outage: false, delay: 100 });
        await pause(1_500);
        await cell.controlPlatform({ delay: 0 });
        await cell.controlWorker({ worker: "worker-0", action: "faults", faults: { failsAll: false } });
        const views = await waitForAll(cell, ids.values());
        const audit = cell.workerAudit();
        const overCapacityStarts = countOverCapacity(audit);
        const starts = audit.filter(line => line.event === "start").length;
        const throttled = new Set(audit.filter(line => line.event === "throttle").map(line => line.task)).size;
        return {
            breaches: Array.from(
                { length: overCapacityStarts },
                () => "a start left a worker with more granted than it has",
            ),
            evidence:
                `${starts} starts, ${views.length} of ${jobCount} jobs ended, ${throttled} held to their grant, ${overCapacityStarts} over capacity`,
            isMeaningful: starts >= jobCount && views.length === jobCount,
        };
    },
};
