/** More ends wait at a worker, while the store is down, than one answer lists. See claim.txt. */
import { fileURLToPath } from "node:url";
import { luzonBounds } from "../stand-ins-2/bounds.mjs";
import { Cell, runCase } from "../stand-ins-2/cell.mjs";
import { now, sleep, until } from "../stand-ins-2/record.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const job = "5c0e7a21d94b36f8";
/** So many fit one worker: 640 of a tenth of a core. */
const taskCount = 600;
/** Tasks take between 12 and 9 s, those that start last the least, so that they end within a second or two. */
const script = { ms: [12_000, 9_000, taskCount] };
/** How long the store is down; the site's days have up to 5 s, `kinds` names 5 s. */
const outage = 4_500;

/** Runs of each task, in the order of their starts. */
const runs = new Map();
let begun = 0;
let done = 0;

const runOf = (worker, { task, run }) => runs.get(task)?.find(other => other.run === run && other.worker === worker.id);

const observer = {
    began(worker, { task, run }) {
        begun++;
        cell.record.write(`${worker.id}: begins ${task}, run ${run}`);
        runs.set(task, [...runs.get(task) ?? [], { worker: worker.id, run, begunAt: now() }]);
    },
    ended(worker, entry, how) {
        done += how === "done" ? 1 : 0;
        cell.record.write(`${worker.id}: ${entry.task}, run ${entry.run}: ${how}`);
        Object.assign(runOf(worker, entry) ?? {}, { how, endedAt: now() });
    },
    noted(worker, end) {
        const run = runOf(worker, end);
        if (run !== undefined) {
            run.notedAt ??= now();
            run.hasLapsed ??= worker.lapsedAt > run.endedAt;
        }
    },
    listed(worker, running, ended, kept) {
        if (kept > ended) {
            cell.record.write(`${worker.id}: answers with ${running} running and ${ended} of its ${kept} ends`);
        }
    },
};

/** TWICE: two runs at the same time, or a start after an end `done` that is taken note of then or later with no lapse in between. */
const violations = () => {
    const broken = [];
    for (const [task, all] of runs) {
        for (const later of all) {
            for (const run of all.filter(other => other !== later && other.begunAt <= later.begunAt)) {
                const text = `${task}: run ${later.run} began at ${later.worker}`;
                if (run.endedAt === undefined || run.endedAt > later.begunAt) {
                    broken.push(`${text} while run ${run.run} was running at ${run.worker}`);
                }
                else if (run.how === "done" && run.notedAt !== undefined && !run.hasLapsed) {
                    const age = Math.round(later.begunAt - run.endedAt);
                    broken.push(`${text} ${age} ms after run ${run.run} had ended done at ${run.worker}`);
                }
            }
        }
    }
    return broken;
};

const cell = new Cell({
    recordFile: fileURLToPath(new URL("record.txt", import.meta.url)),
    bounds: luzonBounds,
    capacity: { Cpu: 64_000, MemMb: 131_072, Gpu: 0 },
    observer,
});

await runCase(cell, async () => {
    await sleep(1_500);
    const body = {
        Spec: JSON.stringify(script),
        Phases: [{ Count: taskCount, Cpu: 100, MemMb: 64, EstimateMs: 10_000 }],
    };
    if (!await cell.submit(job, body)) {
        return { unusable: "the job was not accepted" };
    }
    if (!await until(() => begun >= taskCount, 15_000)) {
        return { unusable: `only ${begun} tasks began` };
    }
    cell.record.write(`all ${taskCount} tasks have begun`);
    await until(() => done > 0, 15_000);
    if (hasTrouble) {
        await cell.store.goDown(outage);
    }
    const isDone = await until(async () => (await cell.stateOf(job)).state === "completed", 30_000, 500);
    cell.record.write(isDone ? "the job is shown as completed" : "the job is not shown as completed");
    await sleep(1_000);
    return { broken: violations() };
});
