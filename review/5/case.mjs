/** Jobs are shown as completed before their last ends are kept, and the owner is killed. See claim.txt. */
import { fileURLToPath } from "node:url";
import { luzonBounds } from "../stand-ins-2/bounds.mjs";
import { Cell, runCase } from "../stand-ins-2/cell.mjs";
import { now, sleep, until } from "../stand-ins-2/record.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
/** The store's answers take so many times as long; the site's list of troubles has 60. */
const slowness = 45;
const slowTime = 4_500;
/** The owner is killed so long after the store has become slow. */
const killDelay = 1_000;
/** The platform starts a process again after this time. */
const restartDelay = 500;
/** The worker is lost so long after the owner. */
const lossDelay = 200;
const jobInterval = 100;
const jobCount = 400;
/** Jobs come for this long after the owner was killed, and without the disruption altogether. */
const trafficTime = 4_000;
/** The store is slow so often at most, with a pause in between, until the owner is killed. */
const maxSlowTimes = 4;
const slowPause = 1_500;
const pollInterval = 40;
const jobIds = Array.from({ length: jobCount }, (_, index) => (0x5c0e7a21d94b0000n + BigInt(index)).toString(16));

/** Runs of each job's tasks. */
const runs = new Map(jobIds.map(id => [id, []]));
/** When each job was first shown as completed. */
const shownAt = new Map();
/** When the last disruption was over. */
let calmSince = 0;

const jobOf = task => task.slice(0, task.indexOf("."));
const runOf = (worker, { task, run }) =>
    runs.get(jobOf(task)).find(other => other.task === task && other.run === run && other.worker === worker);

const observer = {
    began(worker, { task, run }) {
        cell.record.write(`${worker.id}: begins ${task}, run ${run}`);
        runs.get(jobOf(task)).push({ task, run, worker, begunAt: now() });
    },
    ended(worker, entry, how) {
        cell.record.write(`${worker.id}: ${entry.task}, run ${entry.run}: ${how}`);
        Object.assign(runOf(worker, entry), { how, endedAt: now() });
    },
    noted(worker, end) {
        const run = runOf(worker, end);
        run.notedAt ??= now();
    },
};

const cell = new Cell({
    recordFile: fileURLToPath(new URL("record.txt", import.meta.url)),
    bounds: luzonBounds,
    capacity: { Cpu: 64_000, MemMb: 131_072, Gpu: 0 },
    workers: 8,
    observer,
});

/** Hands a job in, and asks for its state until it is shown as completed. */
const follow = async id => {
    const body = {
        Spec: JSON.stringify({ ms: [400, 540, 2] }),
        Phases: [{ Count: 2, Cpu: 5_600, MemMb: 10_000, EstimateMs: 500 }],
    };
    if (!await cell.submit(id, body)) {
        return;
    }
    const deadline = now() + 20_000;
    let asked = 0;
    while (!shownAt.has(id) && now() < deadline) {
        await sleep(pollInterval);
        const { state } = await cell.stateOf(id, cell.fronts[asked++ % cell.fronts.length]);
        if (state === "completed") {
            shownAt.set(id, now());
        }
    }
};

/** The store answers no write within this time while it is slow; a killed process needs some of it to go. */
const surelyUnanswered = 120;

/** The worker of a job that is shown as completed although its last end is younger than any answer of the store. */
const workerOfEarlyEnd = () => {
    for (const id of shownAt.keys()) {
        const last = runs.get(id).reduce((latest, run) => run.endedAt > latest.endedAt ? run : latest);
        if (last.notedAt === undefined && now() - last.endedAt < surelyUnanswered) {
            return last.worker;
        }
    }
    return undefined;
};

/** Kills the owner while a job is shown too early; resolves to the worker of that job's last end, undefined when there was none. */
const killOwner = async owner => {
    await sleep(killDelay);
    // A VM through which the owner's calls go would carry its last ones out.
    const isEarly = () => cell.store.lastWriter === owner.name && workerOfEarlyEnd() !== undefined;
    await until(isEarly, slowTime - killDelay - 500, 2);
    const worker = isEarly() ? workerOfEarlyEnd() : undefined;
    if (worker !== undefined) {
        owner.signal("SIGKILL");
    }
    return worker;
};

/** Resolves to whether the owner was killed. */
const disturb = async () => {
    for (let time = 0; time < maxSlowTimes; time++) {
        const owner = cell.leader;
        const slow = cell.store.slowDown(slowness, slowTime);
        const worker = await killOwner(owner);
        if (worker !== undefined) {
            await sleep(lossDelay);
            cell.record.write(`${worker.id} crashes and is lost for good`);
            await worker.die("died with its worker");
            setTimeout(() => cell.store.remove(`servers/${worker.id}`), 4_500);
            await sleep(restartDelay);
            owner.start();
            await slow;
            calmSince = now();
            return true;
        }
        await slow;
        await sleep(slowPause);
    }
    return false;
};

/** TWICE: a start by a machine in touch more than a second after the job was shown as completed. */
const violations = () => {
    const broken = [];
    for (const [id, at] of shownAt) {
        for (const { task, run, worker, begunAt } of runs.get(id)) {
            if (begunAt > at + 1_000 && begunAt > calmSince + luzonBounds.ContactMs) {
                const age = Math.round(begunAt - at);
                broken.push(`${task}: run ${run} began at ${worker.id} ${age} ms after its job was shown as completed`);
            }
        }
    }
    return broken;
};

await runCase(cell, async () => {
    await sleep(1_500);
    let trafficEnds = Infinity;
    const disturbed = (hasTrouble ? disturb() : Promise.resolve(true)).then(wasKilled => {
        trafficEnds = now() + trafficTime;
        return wasKilled;
    });
    const followed = [];
    for (const id of jobIds) {
        if (now() > trafficEnds) {
            break;
        }
        followed.push(follow(id));
        await sleep(jobInterval);
    }
    if (!await disturbed) {
        return { unusable: "the owner's calls went through other VMs, or no job was shown early" };
    }
    await Promise.all(followed);
    await sleep(12_000);
    const broken = violations();
    for (const id of new Set(broken.map(text => jobOf(text)))) {
        await cell.stateOf(id, cell.fronts[0]);
    }
    return { broken };
});
