/** Proof of guarantee 5. */
import { pause } from "../../cell/index.js";
import { countStarts, jobIdOf } from "../../checks/index.js";
import type { Proof } from "../types.js";
import { createJob, killOwner, startService, submitAll, waitForAll } from "./workload.js";

const jobCount = 60;
const noticeCount = 30;

/**
 * Unrepeatable jobs and live requests run at most once. Every job is submitted three times and every live request sent
 * twice, through different gateways, while the shard's owner and a worker are killed and the platform loses responses.
 */
export const atMostOnceProof: Proof = {
    point: 5,
    name: "what is unrepeatable runs at most once",
    failures: "copies through two gateways, owner killed, lost answers of the platform, a worker killed",
    protection: "memory of a caller's key",
    cell: {},
    async run(cell) {
        await startService(cell, 4);
        const submissions = Array.from(
            { length: jobCount },
            (_, index) => createJob(`build-${index}`, { unrepeatable: true, payload: { runMilliseconds: 300 } }),
        );
        await cell.controlPlatform({ loseAnswers: 4 });
        const sendNotice = (index: number) =>
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
        const noticesSent = Promise.all(
            Array.from({ length: noticeCount }, async (_, index) => {
                await pause(index * 250);
                return [await sendNotice(index), await sendNotice(index)];
            }),
        );
        const firstSubmissions = Promise.all([submitAll(cell, submissions), submitAll(cell, submissions)]);
        await cell.controlWorker({ worker: "worker-3", action: "kill" });
        await killOwner(cell);
        const [first, second] = await firstSubmissions;
        await noticesSent;
        const third = await submitAll(cell, submissions);
        const ids = new Set([...first.values(), ...second.values(), ...third.values()]);
        const views = await waitForAll(cell, ids);
        const audit = cell.workerAudit();
        const startsByKey = new Map<string, number>();
        const keysById = new Map([...first, ...second, ...third].map(([key, id]) => [id, key]));
        for (const [task, count] of countStarts(audit)) {
            const key = keysById.get(jobIdOf(task));
            if (key !== undefined) {
                startsByKey.set(key, (startsByKey.get(key) ?? 0) + count);
            }
        }
        const noticeRuns = audit.filter(line => line.event === "live" && String(line.request).startsWith("notice-"));
        const distinctNoticesRun = new Set(noticeRuns.map(line => line.request)).size;
        const repeated = [...startsByKey].filter(([, count]) => count > 1).map(([key, count]) =>
            `${key} was started ${count} times`
        );
        const unknown = views.filter(view => view.state === "unknown").length;
        const repeatedNotices = findRepeatedNotices(noticeRuns);
        return {
            breaches: [...repeated, ...repeatedNotices],
            evidence:
                `${jobCount} builds submitted three times, ${startsByKey.size} started, ${unknown} answered as not known;`
                + ` ${noticeCount} notices sent twice, ${distinctNoticesRun} of them run, ${repeatedNotices.length} more than once`,
            isMeaningful: startsByKey.size > jobCount / 2 && distinctNoticesRun > 0 && views.length === ids.size,
        };
    },
};

/** Describes the live requests that instances of the service received more than once. */
const findRepeatedNotices = (noticeRuns: readonly { readonly [field: string]: unknown; }[]): string[] => {
    const counts = new Map<string, number>();
    noticeRuns.forEach(line => counts.set(String(line.request), (counts.get(String(line.request)) ?? 0) + 1));
    return [...counts].filter(([, count]) => count > 1).map(([id, count]) =>
        `live request ${id} was run ${count} times`
    );
};
