/** Jobs and live requests that the proofs send. */
import { type Cell, type FinalJobView, waitUntil } from "../../cell/index.js";

/** How long a proof waits for an expected event, in milliseconds. */
export const waitTimeout = 30_000;

/** Creates the submission of a small batch job with one task; `overrides` adds or replaces fields. */
export const createJob = (key: string, overrides: object = {}) => ({
    key,
    class: "batch",
    size: { processors: 4, memoryMebibytes: 4_096 },
    ...overrides,
});

/** Submits jobs until each is accepted or refused; returns the IDs of the accepted ones by key. */
export const submitAll = async (cell: Cell, jobs: readonly { key: string; }[]): Promise<Map<string, string>> => {
    const deadline = performance.now() + waitTimeout;
    const ids = new Map<string, string>();
    await Promise.all(jobs.map(async job => {
        const answer = await cell.caller.submitUntilSettled(job, deadline);
        if (answer.status < 400) {
            ids.set(job.key, String(answer.body.job));
        }
    }));
    return ids;
};

/** Waits for jobs to end; returns the final views of those that ended in time. */
export const waitForAll = async (cell: Cell, ids: Iterable<string>): Promise<FinalJobView[]> => {
    const deadline = performance.now() + waitTimeout;
    const views = await Promise.all([...ids].map(id => cell.caller.waitForEnd(id, deadline)));
    return views.filter(view => view !== undefined);
};

/** Kills the shard's owner; resolves once another scheduler can place tasks. */
export const killOwner = async (cell: Cell): Promise<void> => {
    const owner = await cell.ownerOf();
    await cell.schedulers.get(owner ?? "")?.kill();
    await cell.waitUntilPlacing();
};

/** Submits a service and waits until it responds through every gateway. */
export const startService = async (cell: Cell, instances: number): Promise<void> => {
    await submitAll(cell, [{
        ...createJob("prompts"),
        class: "service",
        service: "prompts",
        tasks: instances,
        size: { processors: 4, memoryMebibytes: 4_096, slots: 4, connections: 8 },
    } as { key: string; }]);
    await waitUntil("the service answers at every gateway", waitTimeout, async () => {
        const answers = await Promise.all(
            cell.callerAddresses().map(() =>
                cell.caller.send({ method: "GET", path: "/services/prompts/" }).catch(() => undefined)
            ),
        );
        return answers.every(answer => answer?.status === 200);
    });
};

/**
 * Sends a live request whose response depends on its ID. `whole`: the response is complete and its own; `wrong`: it
 * succeeded with other contents; `broken`: the connection failed or the response was truncated.
 */
export const sendLiveRequest = async (
    cell: Cell,
    id: string,
    milliseconds: number,
    bytes = 1_000,
): Promise<"whole" | "refused" | "wrong" | "broken"> => {
    try {
        const answer = await cell.caller.send({
            method: "POST",
            path: `/services/prompts/render?milliseconds=${milliseconds}&bytes=${bytes}`,
            body: `body of ${id}`,
            headers: { "pebbledale-request-id": id },
        });
        if (answer.status >= 400) {
            return "refused";
        }
        return answer.text === `${id}:body of ${id}${id.repeat(bytes).slice(0, bytes)}` ? "whole" : "wrong";
    }
    catch {
        return "broken";
    }
};
