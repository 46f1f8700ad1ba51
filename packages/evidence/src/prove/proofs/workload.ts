/** Work that proofs send. */
import { type Cell, type FinalJobView, waitUntil } from "../../cell/index.js";

/** How long a proof waits for what must come. */
export const waitTimeout = 30_000;

/** A batch job of one task. */
export const createJob = (key: string, more: object = {}) => ({
    key,
    class: "batch",
    size: { processors: 4, memoryMebibytes: 4_096 },
    ...more,
});

/** Submits jobs through changing gateways until each is settled; ids by key, refused ones left out. */
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

/** Waits for the end of jobs; the views of those that ended. */
export const waitForAll = async (cell: Cell, ids: Iterable<string>): Promise<FinalJobView[]> => {
    const deadline = performance.now() + waitTimeout;
    const views = await Promise.all([...ids].map(id => cell.caller.waitForEnd(id, deadline)));
    return views.filter(view => view !== undefined);
};

/** Kills the owner of the shard; resolves once another one places. */
export const killOwner = async (cell: Cell): Promise<void> => {
    const owner = await cell.ownerOf();
    await cell.schedulers.get(owner ?? "")?.kill();
    await cell.waitUntilPlacing();
};

/** Submits a service and waits until every gateway gets answers from it. */
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

/** One live request with a body that depends on its id; whether its answer was whole and its own. */
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
