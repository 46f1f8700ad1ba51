/** Point 6: a backend server that is leaving receives no new work after a few seconds. */
import { pause } from "../../cell/index.js";
import type { Proof } from "../types.js";
import { createJob, sendLiveRequest, startService, submitAll } from "./workload.js";

/** What "a few seconds" is here, in milliseconds. */
const gracePeriod = 3_000;
const observationPeriod = 3_000;

/** A worker says that it leaves under a stream of tasks and live requests, while the owner is killed. */
export const leavingWorkerProof: Proof = {
    point: 6,
    name: "a leaving VM gets no new work after a few seconds",
    failures: "owner killed as the VM begins to leave, the list of VMs lags",
    protection: "heed of leaving VMs",
    cell: {},
    async run(cell) {
        await startService(cell, 4);
        const end = new AbortController();
        const stream = (async () => {
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
        await stream;
        const late = cell.workerAudit().filter(line =>
            line.worker === "worker-1" && line.at > leftAt + gracePeriod
            && ["start", "live", "refuse"].includes(line.event)
        );
        const elsewhere = cell.workerAudit().filter(line =>
            line.worker !== "worker-1" && line.at > leftAt + gracePeriod
        );
        return {
            breaches: late.map(line =>
                `${line.event} ${String(line.task)} ${Math.round(line.at - leftAt)} ms after it began to leave`
            ),
            evidence: `0 new on the leaving VM after ${gracePeriod} ms, ${elsewhere.length} events on the others`,
            isMeaningful: elsewhere.length > 50,
        };
    },
};
