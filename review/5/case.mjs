/** Workers crash without a word and come back, while jobs on them are cancelled. See claim.txt. */
import { fileURLToPath } from "node:url";
import { luzonBounds } from "../stand-ins-2/bounds.mjs";
import { Cell, runCase } from "../stand-ins-2/cell.mjs";
import { now, sleep, until } from "../stand-ins-2/record.mjs";

const hasTrouble = process.env.TROUBLE !== "0";
const workers = 20;
/** 0.15 of the workers crash at a time. */
const crashing = 3;
const downTime = 7_000;
const entryTime = 4_500;
const cycles = 10;
/** Machines on which processes have to end by themselves for a fault, and how often on each. */
const minMachines = 2;
const minEnds = 3;

/** Ends of processes that got no signal, by VM. */
const ends = new Map();
let begun = 0;
let isOver = false;

const observer = {
    began(worker, { task, run }) {
        begun++;
        cell.record.write(`${worker.id}: begins ${task}, run ${run}`);
    },
    ended(worker, { task, run }, how) {
        cell.record.write(`${worker.id}: ${task}, run ${run}: ${how}`);
    },
    noted() {},
};

const cell = new Cell({
    recordFile: fileURLToPath(new URL("record.txt", import.meta.url)),
    bounds: luzonBounds,
    capacity: { Cpu: 64_000, MemMb: 131_072, Gpu: 0 },
    workers,
    observer,
});

/** Starts a VM's process again when it has ended, as the platform does, and counts the end. */
const watch = vm => {
    vm.process.once("exit", (code, signal) => {
        if (isOver) {
            return;
        }
        ends.set(vm.name, (ends.get(vm.name) ?? 0) + 1);
        cell.record.write(`${vm.name} ended by itself, ${signal === null ? `with code ${code}` : `by ${signal}`}`);
        setTimeout(() => {
            if (!isOver) {
                vm.start();
                watch(vm);
            }
        }, 500);
    });
};

const crash = async worker => {
    cell.record.write(`${worker.id} crashes without a word`);
    const end = await worker.goDark();
    setTimeout(() => cell.store.remove(`servers/${worker.id}`), entryTime);
    await sleep(downTime);
    const port = await end();
    cell.workers.splice(cell.workers.indexOf(worker), 1);
    const next = await cell.addWorker(worker.machine, worker.index, port);
    cell.record.write(`${next.id} comes in its place`);
};

const playCycle = async cycle => {
    const job = (0x5c0e7a21d94b0000n + BigInt(cycle)).toString(16);
    const before = begun;
    const body = {
        Spec: JSON.stringify({ ms: 60_000 }),
        Phases: [{ Count: 24 * workers, Cpu: 2_600, MemMb: 2_000, EstimateMs: 60_000 }],
    };
    if (!await cell.submit(job, body)) {
        return;
    }
    await until(() => begun - before >= 23 * workers, 5_000);
    const crashed = hasTrouble ? [...cell.workers].sort(() => Math.random() - 0.5).slice(0, crashing) : [];
    const back = Promise.all(crashed.map(crash));
    await sleep(3_500);
    for (
        let attempt = 0;
        attempt < 10 && await cell.cancel(job, cell.fronts[attempt % cell.fronts.length]) !== 200;
        attempt++
    ) {
        await sleep(200);
    }
    await back;
    await sleep(1_500);
};

await runCase(cell, async () => {
    cell.vms.forEach(watch);
    await sleep(500);
    const stopAt = now() + 85_000;
    for (let cycle = 0; cycle < cycles && now() < stopAt; cycle++) {
        await playCycle(cycle);
    }
    isOver = true;
    const faulty = [...ends].filter(([, count]) => count >= minEnds);
    cell.record.write(
        `ends by themselves: ${[...ends].map(([name, count]) => `${name} ${count}`).join(", ") || "none"}`,
    );
    return {
        broken: faulty.length >= minMachines
            ? faulty.map(([name, count]) => `${name} ended by itself ${count} times`)
            : [],
    };
});
