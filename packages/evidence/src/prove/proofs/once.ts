/** Point 5: what is marked unrepeatable runs at most once. */
import { pause } from "../../cell/index.js";
import { countStarts, jobOf } from "../../checks/index.js";
import type { Proof } from "../types.js";
import { killOwner, startService, submitAll, taskJob, waitAll } from "./work.js";

const jobs = 60;
const notices = 30;

/** Every build is submitted twice and every notice sent twice, through different gateways, while owners die. */
export const onceProof: Proof = {
    point: 5,
    name: "what is unrepeatable runs at most once",
    failures: "copies through two gateways, owner killed, lost answers of the platform, a worker killed",
    protection: "memory of a caller's key",
    cell: {},
    async run(cell) {
        await startService(cell, 4);
        const work = Array.from(
            { length: jobs },
            (_, index) => taskJob(`build-${index}`, { unrepeatable: true, payload: { runMilliseconds: 300 } }),
        );
        await cell.controlPlatform({ loseAnswers: 4 });
        const notice = (index: number) =>
            cell.caller.send({
                method: "POST",
                path: "/services/prompts/notice",
                body: "notice",
                headers: {
                    "pebbledale-unrepeatable": "true",
                    "pebbledale-key": `notice-${index}`,
                    "pebbledale-request-id": `notice-${index}`,
                },
            }).catch(() => undefined);
        const sending = Promise.all(
            Array.from({ length: notices }, async (_, index) => {
                await pause(index * 250);
                return [await notice(index), await notice(index)];
            }),
        );
        const twice = Promise.all([submitAll(cell, work), submitAll(cell, work)]);
        await cell.controlWorker({ worker: "worker-3", action: "kill" });
        await killOwner(cell);
        const [first, second] = await twice;
        await sending;
        const again = await submitAll(cell, work);
        const ids = new Set([...first.values(), ...second.values(), ...again.values()]);
        const views = await waitAll(cell, ids);
        const audit = cell.workerAudit();
        const startsByKey = new Map<string, number>();
        const keyOf = new Map([...first, ...second, ...again].map(([key, id]) => [id, key]));
        for (const [task, count] of countStarts(audit)) {
            const key = keyOf.get(jobOf(task));
            if (key !== undefined) {
                startsByKey.set(key, (startsByKey.get(key) ?? 0) + count);
            }
        }
        const live = audit.filter(line => line.event === "live" && String(line.request).startsWith("notice-"));
        const noticesRun = new Set(live.map(line => line.request)).size;
        const repeated = [...startsByKey].filter(([, count]) => count > 1).map(([key, count]) =>
            `${key} was started ${count} times`
        );
        const unknown = views.filter(view => view.state === "unknown").length;
        return {
            breaches: [...repeated, ...repeatedNotices(live)],
            evidence:
                `${jobs} builds submitted three times, ${startsByKey.size} started, ${unknown} answered as not known;`
                + ` ${notices} notices sent twice, ${noticesRun} of them run, none twice`,
            isMeaningful: startsByKey.size > jobs / 2 && noticesRun > 0 && views.length === ids.size,
        };
    },
};

/** Ids of live requests that an instance saw more than once. */
const repeatedNotices = (live: readonly { readonly [field: string]: unknown; }[]): string[] => {
    const counts = new Map<string, number>();
    live.forEach(line => counts.set(String(line.request), (counts.get(String(line.request)) ?? 0) + 1));
    return [...counts].filter(([, count]) => count > 1).map(([id, count]) =>
        `live request ${id} was run ${count} times`
    );
};
