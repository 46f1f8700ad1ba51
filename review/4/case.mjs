/** Workers are cut off, with orders to them waiting, while a VM that stood still returns and gets back its links. */
import { fork } from "node:child_process";
import { connect } from "node:net";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { broken, Cell, couldNotRun, held, sleep, until } from "../stand-ins/cell.mjs";

const trouble = process.env.TROUBLE !== "0";
const workers = Array.from({ length: 18 }, (_, index) => `w${index + 1}`);
const relayProgram = join(dirname(fileURLToPath(import.meta.url)), "../stand-ins/relay-main.mjs");
const tasksPerWorker = 10;
const jobs = 3;
/** Connections that are opened to fill a stopped relay's queue. */
const fillers = 3;
/** The rule: so many ends on so many machines. */
const endsThatCount = 3;
const machinesThatCount = 2;
/** Ends so soon after the machine's own disruption do not count. */
const ownDisruption = 1_000;
const restartDelay = 300;
/** The workers come back shortly after the VM that stood still, whose return moves links to it. */
const healDelay = 450;
/** No round begins later than this. */
const lastRoundAt = 88_000;

const idOf = (round, job) => `5c0e7a21d94b${(round * 16 + job + 256).toString(16).padStart(4, "0")}`;

const run = async cell => {
    const relays = new Map();
    cell.relayOf = async worker => {
        const child = fork(relayProgram, [worker.address], { stdio: ["ignore", "ignore", "ignore", "ipc"] });
        const port = await new Promise(resolve => child.once("message", resolve));
        relays.set(worker.id, { child, port, open: [] });
        return `127.0.0.1:${port}`;
    };
    const cut = () =>
        relays.forEach(relay => {
            relay.child.kill("SIGSTOP");
            relay.open = Array.from(
                { length: fillers },
                () => connect(relay.port, "127.0.0.1").on("error", () => undefined),
            );
        });
    const heal = () =>
        relays.forEach(relay => {
            relay.open.forEach(socket => socket.destroy());
            relay.child.kill("SIGCONT");
        });
    const ends = new Map();
    const disturbedUntil = new Map();
    // The platform starts a process that ends again after a short delay.
    cell.onEnd = (vm, code) => {
        if (cell.isClosing) {
            return;
        }
        const isOwn = cell.now() > (disturbedUntil.get(vm.name) ?? 0);
        cell.record(`${vm.name} ended by itself with code ${code}${isOwn ? "" : ", during its disruption"}`);
        cell.recordLog(vm);
        ends.set(vm.name, (ends.get(vm.name) ?? 0) + (isOwn ? 1 : 0));
        setTimeout(() => cell.restart(vm), restartDelay);
    };
    const isBroken = () => [...ends.values()].filter(count => count >= endsThatCount).length >= machinesThatCount;
    try {
        await cell.start({ vms: 3, workers: workers.map(id => ({ id })) });
        await sleep(3_000);
        for (let round = 0; !isBroken() && cell.now() < lastRoundAt; round++) {
            await playRound(cell, round, cut, heal, disturbedUntil);
        }
        const counts = [...ends].map(([name, count]) => `${name} ${count}`).join(", ");
        cell.record(`rule Fault: ends of processes by themselves: ${counts === "" ? "none" : counts}`);
        return isBroken() ? broken : held;
    }
    finally {
        cell.isClosing = true;
        relays.forEach(({ child }) => {
            child.kill("SIGCONT");
            child.kill("SIGKILL");
        });
    }
};

const playRound = async (cell, round, cut, heal, disturbedUntil) => {
    for (let job = 0; job < jobs; job++) {
        const step = {
            Count: tasksPerWorker * workers.length,
            Cpu: 1_500,
            MemMb: 100,
            EstimateMs: 60_000,
            AntiAffinity: tasksPerWorker,
        };
        await cell.submit(idOf(round, job), { Spec: JSON.stringify({ milliseconds: 60_000 }), Phases: [step] });
        await sleep(600);
    }
    const owner = cell.store.owner();
    const front = cell.vms.find(({ name }) => name === owner) ?? cell.vms[0];
    const others = cell.vms.filter(vm => vm !== front);
    const frozen = others[round % others.length];
    if (trouble) {
        disturbedUntil.set(frozen.name, Infinity);
        cell.kill(frozen, "SIGSTOP");
        await sleep(1_500);
        cell.record("the workers are cut off");
        cut();
    }
    for (let job = 0; job < jobs; job++) {
        await sleep(900);
        const { status } = await cell.call(front, "DELETE", `/queue/${idOf(round, job)}`);
        cell.record(`DELETE ${idOf(round, job)} at ${front.name}: ${status}`);
    }
    if (trouble) {
        await sleep(300);
        cell.kill(frozen, "SIGCONT");
        disturbedUntil.set(frozen.name, cell.now() + ownDisruption);
        await sleep(healDelay);
        cell.record("the workers are back");
        heal();
    }
    await sleep(2_500);
    for (let job = 0; job < jobs; job++) {
        // A cancel without an answer is sent again.
        await cell.call(cell.running[0], "DELETE", `/queue/${idOf(round, job)}`);
    }
    await sleep(1_000);
};

const cell = new Cell(process.argv[2]);
let outcome = couldNotRun;
try {
    outcome = await run(cell);
}
catch (cause) {
    cell.record(`failed: ${cause.stack}`);
}
cell.record(`outcome ${outcome}`);
await cell.close();
process.exit(outcome);
