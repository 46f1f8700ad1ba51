/** Proof of guarantee 4. */
import { pause } from "../../cell/index.js";
import { countStarts, jobIdOf } from "../../checks/index.js";
import type { Proof } from "../types.js";
import { createJob, submitAll, waitForAll } from "./workload.js";

const jobCount = 60;

/**
 * A job reported as not run was not run. Workers lose their responses to start messages, then all jobs are cancelled
 * while starts are in flight, a worker is unreachable and the shard's owner is killed.
 */
export const notRunProof: Proof = {
    point: 4,
    name: "what is answered as not run was not run",
    failures: "lost answers to starts, a wave of cancellations, owner killed, worker cut",
    protection: "doubt about a start without an answer",
    cell: {},
    async run(cell) {
        await cell.controlAllWorkers({ action: "faults", faults: { loseStartAnswers: 8 } });
        const submissions = Array.from(
            { length: jobCount },
            (_, index) =>
                createJob(`job-${index}`, { unrepeatable: index % 2 === 0, payload: { runMilliseconds: 1_500 } }),
        );
        const ids = await submitAll(cell, submissions);
        await cell.controlWorker({ worker: "worker-2", action: "faults", faults: { isCut: true } });
        await Promise.all(
            [...ids.values()].map(id =>
                cell.caller.send({ method: "DELETE", path: `/jobs/${id}` }).catch(() => undefined)
            ),
        );
        const owner = await cell.ownerOf();
        await cell.schedulers.get(owner ?? "")?.kill();
        await pause(2_000);
        await cell.controlWorker({ worker: "worker-2", action: "faults", faults: { isCut: false } });
        const views = await waitForAll(cell, ids.values());
        const started = new Set([...countStarts(cell.workerAudit()).keys()].map(jobIdOf));
        const notRun = views.filter(view => view.ran === "not-run");
        const startedAnyway = notRun.filter(view => started.has(view.job));
        return {
            breaches: startedAnyway.map(view => `${view.job} was answered as not run and ran`),
            evidence:
                `${views.length} of ${jobCount} ended, ${started.size} started, ${notRun.length} answered as not run`,
            isMeaningful: views.length === jobCount && started.size > 10 && notRun.length > 0,
        };
    },
};
