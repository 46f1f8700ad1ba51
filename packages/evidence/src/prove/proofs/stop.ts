/** Point 7: a planned stop cuts no request in progress. */
import { pause } from "../../cell/index.js";
import type { Proof } from "../types.js";
import { sendLive, startService, submitAll, taskJob, waitAll } from "./work.js";

const requests = 80;

/** Every gateway and every scheduler is stopped and started again in turn under slow requests and waiting callers. */
export const stopProof: Proof = {
    point: 7,
    name: "a planned stop cuts no request in progress",
    failures: "rolling stop of all gateways and schedulers under load; the VM of a leaving worker drains",
    protection: "the planned stop: processes are killed",
    cell: {},
    async run(cell, isProtected) {
        await startService(cell, 4);
        const waiting = submitAll(
            cell,
            Array.from({ length: 20 }, (_, index) =>
                taskJob(`build-${index}`, {
                    unrepeatable: true,
                    payload: { runMilliseconds: 2_500, output: "built" },
                })),
        )
            .then(ids => waitAll(cell, ids.values()));
        const sends = Array.from({ length: requests }, async (_, index) => {
            await pause(index * 40);
            return sendLive(cell, `request-${index}`, 300);
        });
        await pause(400);
        const end = (child: { stop(): Promise<unknown>; kill(): Promise<unknown>; } | undefined) =>
            isProtected ? child?.stop() : child?.kill();
        const codes: unknown[] = [];
        for (const index of [0, 1]) {
            codes.push(await end(cell.gateways.get(`gateway-${index}`)));
            cell.startGateway(index);
            await pause(700);
            codes.push(await end(cell.schedulers.get(`scheduler-${index}`)));
            await cell.startScheduler(index);
            await pause(300);
        }
        const ends = await Promise.all(sends);
        const views = await waiting;
        const built = views.filter(view => view.state === "succeeded").length;
        const count = (name: string) => ends.filter(other => other === name).length;
        const broken = [
            ...ends.filter(other => other === "broken").map(() => "a live request in progress was cut"),
            ...ends.filter(other => other === "wrong").map(() => "a live request was answered wrongly"),
            ...codes.filter(code => isProtected && code !== 0).map(code => `a process left with ${String(code)}`),
        ];
        return {
            breaches: broken,
            evidence: `${requests} live requests: ${count("whole")} whole, ${
                count("refused")
            } refused, 0 cut; ${built} of 20 builds done`,
            isMeaningful: count("whole") > requests / 2 && built === 20,
        };
    },
};
