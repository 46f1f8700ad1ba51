/** Proof of guarantee 6. */
import { pause } from "../../cell/index.js";
import type { Proof } from "../types.js";
import { createJob, sendLiveRequest, startService, submitAll } from "./workload.js";

/** Time after which a leaving worker must receive no new work, in milliseconds. */
const gracePeriod = 3_000;
const observationPeriod = 3_000;

/**
 * A leaving backend server receives no new work after the grace period. A worker starts to leave under a stream of tasks
 * and live requests; the platform's VM list still shows it as live, and the shard's owner is killed.
 */
export const leavingWorkerProof: Proof = {
    point: 6,
    name: "a leaving VM gets no new work after a few seconds",
    failures: "owner killed as the VM begins to leave, the list of VMs lags",
    protection: "heed of leaving VMs",
    cell: {},
    async run(cell) {
        await startService(cell, 4);
        const end = new AbortController();
        const load = (async () => {
            for (let index = 0; !end.signal.aborted; index++) {
                void sendLiveRequest(cell, `request-${index}`, 10);
                if (index % 5 === 0) {
                    void submitAll(cell, [createJob(`task-${index}`, { payload: { runMilliseconds: 50 } })]);
                }
                await pause(20);
            }
        })();
        await pause(500);
        cell.setWorkerListFrozen(true);
        await cell.controlWorker({ worker: "worker-1", action: "leave" });
        const leftAt = performance.timeOrigin + performance.now();
        const owner = await cell.ownerOf();
        await cell.schedulers.get(owner ?? "")?.kill();
        await pause(gracePeriod + observationPeriod);
        end.abort();
        await load;
        const lateEvents = cell.workerAudit().filter(line =>
            line.worker === "worker-1" && line.at > leftAt + gracePeriod
            && ["start", "live", "refuse"].includes(line.event)
        );
        const eventsOnOthers = cell.workerAudit().filter(line =>
            line.worker !== "worker-1" && line.at > leftAt + gracePeriod
        );
        return {
            breaches: lateEvents.map(line =>
                `${line.event} ${String(line.task)} ${Math.round(line.at - leftAt)} ms after it began to leave`
            ),
            evidence:
                `${lateEvents.length} new on the leaving VM after ${gracePeriod} ms, ${eventsOnOthers.length} events on the others`,
            isMeaningful: eventsOnOthers.length > 50,
        };
    },
};
