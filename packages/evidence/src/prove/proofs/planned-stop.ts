/** Proof of guarantee 7. */
import { pause } from "../../cell/index.js";
import type { Proof } from "../types.js";
import { createJob, sendLiveRequest, startService, submitAll, waitForAll } from "./workload.js";

const requestCount = 80;

/**
 * A planned stop interrupts no request in progress. Each gateway and each scheduler is restarted in turn while live
 * requests are in progress and callers wait for jobs. Without protection, the processes are killed instead.
 */
export const plannedStopProof: Proof = {
    point: 7,
    name: "a planned stop cuts no request in progress",
    failures: "rolling stop of all gateways and schedulers under load",
    protection: "the planned stop: processes are killed",
    cell: {},
    async run(cell, isProtected) {
        await startService(cell, 4);
        const waitingCallers = submitAll(
            cell,
            Array.from({ length: 20 }, (_, index) =>
                createJob(`build-${index}`, {
                    unrepeatable: true,
                    payload: { runMilliseconds: 2_500, output: "built" },
                })),
        )
            .then(ids => waitForAll(cell, ids.values()));
        const sends = Array.from({ length: requestCount }, async (_, index) => {
            await pause(index * 40);
            return sendLiveRequest(cell, `request-${index}`, 300);
        });
        await pause(400);
        const stopOrKill = (child: { stop(): Promise<unknown>; kill(): Promise<unknown>; } | undefined) =>
            isProtected ? child?.stop() : child?.kill();
        const exitCodes: unknown[] = [];
        for (const index of [0, 1]) {
            exitCodes.push(await stopOrKill(cell.gateways.get(`gateway-${index}`)));
            cell.startGateway(index);
            await pause(700);
            exitCodes.push(await stopOrKill(cell.schedulers.get(`scheduler-${index}`)));
            await cell.startScheduler(index);
            await pause(300);
        }
        const outcomes = await Promise.all(sends);
        const views = await waitingCallers;
        const built = views.filter(view => view.state === "succeeded").length;
        const count = (name: string) => outcomes.filter(outcome => outcome === name).length;
        const breaches = [
            ...outcomes.filter(outcome => outcome === "broken").map(() => "a live request in progress was cut"),
            ...outcomes.filter(outcome => outcome === "wrong").map(() => "a live request was answered wrongly"),
            ...exitCodes.filter(code => isProtected && code !== 0).map(code => `a process left with ${String(code)}`),
        ];
        return {
            breaches,
            evidence: `${requestCount} live requests: ${count("whole")} whole, ${count("refused")} refused, ${
                count("broken")
            } cut; ${built} of 20 builds done`,
            isMeaningful: count("whole") > requestCount / 2 && built === 20,
        };
    },
};
