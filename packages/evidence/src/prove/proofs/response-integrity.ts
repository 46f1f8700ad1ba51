/** Proof of guarantee 3. */
import type { Proof } from "../types.js";
import { sendLiveRequest, startService } from "./workload.js";

const requestCount = 120;

/**
 * A caller receives the complete response to its own request, or an error. One worker truncates its responses and one
 * responds with the ID of another request; the remaining workers are healthy, and the shard's owner is killed.
 */
export const responseIntegrityProof: Proof = {
    point: 3,
    name: "a caller gets the whole answer to its own request",
    failures: "answers cut in the middle, crossed answers, owner killed",
    protection: "check of an answer",
    cell: {},
    async run(cell) {
        await startService(cell, 4);
        await cell.controlWorker({ worker: "worker-0", action: "faults", faults: { cutsAnswers: true } });
        await cell.controlWorker({ worker: "worker-1", action: "faults", faults: { crossesAnswers: true } });
        const sends = Array.from({ length: requestCount }, async (_, index) => {
            await new Promise(resolve => setTimeout(resolve, index * 15));
            return sendLiveRequest(cell, `request-${index}`, index % 3 === 0 ? 120 : 10, 5_000);
        });
        const owner = await cell.ownerOf();
        await cell.schedulers.get(owner ?? "")?.kill();
        const outcomes = await Promise.all(sends);
        const count = (expected: string) => outcomes.filter(outcome => outcome === expected).length;
        return {
            breaches: outcomes.filter(end => end === "wrong").map(() =>
                "a caller took a cut or foreign answer for its own"
            ),
            evidence: `${requestCount} sent, ${count("whole")} whole, ${count("broken")} seen as broken, ${
                count("refused")
            } refused`,
            isMeaningful: count("whole") > requestCount / 4 && count("broken") > 0,
        };
    },
};
