/** Work that proofs send. */
import { type Cell, type FinalView, until } from "../../cell/index.js";

/** How long a proof waits for what must come. */
export const patience = 30_000;

/** A batch job of one task. */
export const taskJob = (key: string, more: object = {}) => ({
    key,
    class: "batch",
    size: { processors: 4, memoryMebibytes: 4_096 },
    ...more,
});

/** Submits jobs through changing gateways until each is settled; ids by key, refused ones left out. */
export const submitAll = async (cell: Cell, jobs: readonly { key: string; }[]): Promise<Map<string, string>> => {
    const deadline = performance.now() + patience;
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
export const waitAll = async (cell: Cell, ids: Iterable<string>): Promise<FinalView[]> => {
    const deadline = performance.now() + patience;
    const views = await Promise.all([...ids].map(id => cell.caller.waitForEnd(id, deadline)));
    return views.filter(view => view !== undefined);
};

/** Kills the owner of the shard; resolves once another one places. */
export const killOwner = async (cell: Cell): Promise<void> => {
    const owner = await cell.ownerOf();
    await cell.schedulers.get(owner ?? "")?.kill();
    await cell.untilPlacing();
};

/** Submits a service and waits until every gateway gets answers from it. */
export const startService = async (cell: Cell, instances: number): Promise<void> => {
    await submitAll(cell, [{
        ...taskJob("prompts"),
        class: "service",
        service: "prompts",
        tasks: instances,
        size: { processors: 4, memoryMebibytes: 4_096, slots: 4, connections: 8 },
    } as { key: string; }]);
    await until("the service answers at every gateway", patience, async () => {
        const answers = await Promise.all(
            cell.callerAddresses().map(() =>
                cell.caller.send({ method: "GET", path: "/services/prompts/" }).catch(() => undefined)
            ),
        );
        return answers.every(answer => answer?.status === 200);
    });
};

/** One live request with a body that depends on its id; whether its answer was whole and its own. */
export const sendLive = async (
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
