/** Point 1: no VM is ever given more than it has. */
import { countOverCapacity } from "../../checks/index.js";
import type { Proof } from "../types.js";
import { killOwner, submitAll, taskJob, waitAll } from "./work.js";

const jobs = 120;

/** More work than fits at once, through an owner's death and an outage of the platform. */
export const capacityProof: Proof = {
    point: 1,
    name: "no VM is given more than it has",
    failures: "owner killed, platform outage, lost answers",
    protection: "counting of grants",
    cell: {},
    async run(cell) {
        const size = { processors: 20, memoryMebibytes: 30_000 };
        const work = Array.from(
            { length: jobs },
            (_, index) => taskJob(`job-${index}`, { size, payload: { runMilliseconds: 150 } }),
        );
        const submitting = submitAll(cell, work);
        await cell.controlPlatform({ loseAnswers: 3 });
        const [ids] = await Promise.all([submitting, killOwner(cell)]);
        await cell.controlPlatform({ outage: true });
        await new Promise(resolve => setTimeout(resolve, 800));
        await cell.controlPlatform({ outage: false });
        const views = await waitAll(cell, ids.values());
        const audit = cell.workerAudit();
        const over = countOverCapacity(audit);
        const starts = audit.filter(line => line.event === "start").length;
        return {
            breaches: Array.from({ length: over }, () => "a start left a worker with more granted than it has"),
            evidence: `${starts} starts, ${views.length} of ${jobs} jobs ended, 0 over capacity`,
            isMeaningful: starts >= jobs && views.length === jobs,
        };
    },
};
