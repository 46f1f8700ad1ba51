/** Slopes of real processes on loopback: processor time, memory and platform calls, read from their own metrics. */
import { request } from "undici";
import { Cell, pause } from "../cell/index.js";
import { sendLive, startService, submitAll, taskJob, waitAll } from "../prove/proofs/work.js";
import type { Slope } from "./types.js";

const restSeconds = 6;
const liveRequests = 3_000;
const livePerBatch = 40;
const jobs = 600;
const jobsPerBatch = 60;

interface Reading {
    readonly processor: number;
    readonly memory: number;
    readonly calls: number;
}

const read = async (address: string): Promise<Reading> => {
    const answer = await request(`http://${address}/metrics`);
    const text = await answer.body.text();
    const sum = (pattern: RegExp) => [...text.matchAll(pattern)].reduce((total, match) => total + Number(match[1]), 0);
    return {
        processor: sum(/^process_cpu_seconds_total (\S+)/gm),
        memory: sum(/^process_resident_memory_bytes (\S+)/gm),
        calls: sum(/^pebbledale_platform_calls_total\{[^}]*\} (\S+)/gm),
    };
};

/** Measures a cell of 30 workers at rest, under live requests, and under jobs. */
export const measureProcessSlopes = async (): Promise<Slope[]> => {
    const slopes: Slope[] = [];
    const add = (role: string, what: string, value: number, unit: string) => slopes.push({ role, what, value, unit });
    const tree = "[organisation]\nworker.heartbeat = 1s\nlive.wait_limit = 5s\n";
    const cell = await Cell.start({
        gateways: 1,
        schedulers: 2,
        workers: 30,
        user: "bayanihan",
        tree,
        ownerLease: "3s",
    });
    try {
        await startService(cell, 20);
        const owner = Number((await cell.ownerOf())?.slice("scheduler-".length));
        const ownerAddress = cell.places.schedulers[owner];
        const idleAddress = cell.places.schedulers[1 - owner];
        const gateway = cell.administrationAddresses[0];
        const readAll = async () => ({
            owner: await read(ownerAddress),
            idle: await read(idleAddress),
            gateway: await read(gateway),
            counts: await cell.platformCounts(),
        });
        await pause(2_000);

        const rest = await readAll();
        await pause(restSeconds * 1_000);
        const rested = await readAll();
        for (const role of ["owner", "idle", "gateway"] as const) {
            const name = role === "idle"
                ? "scheduler without a shard"
                : role === "owner"
                ? "scheduler with a shard of 30"
                : "gateway";
            add(
                name,
                "processor at rest",
                (rested[role].processor - rest[role].processor) / restSeconds * 100,
                "% of a core",
            );
            add(name, "memory at rest", rested[role].memory / 1_048_576, "MiB");
            add(name, "platform calls at rest", (rested[role].calls - rest[role].calls) / restSeconds, "/s");
        }

        const started = performance.now();
        for (let sent = 0; sent < liveRequests; sent += livePerBatch) {
            await Promise.all(
                Array.from({ length: livePerBatch }, (_, index) => sendLive(cell, `r-${sent + index}`, 0)),
            );
        }
        const live = await readAll();
        const seconds = (performance.now() - started) / 1_000;
        add(
            "gateway",
            "processor a live request",
            (live.gateway.processor - rested.gateway.processor) / liveRequests * 1e6,
            "us",
        );
        add(
            "scheduler with a shard of 30",
            "processor a live request",
            (live.owner.processor - rested.owner.processor) / liveRequests * 1e6,
            "us",
        );
        add("gateway", "live requests in this run", liveRequests / seconds, "/s");

        const work = Array.from(
            { length: jobs },
            (_, index) => taskJob(`job-${index}`, { payload: { runMilliseconds: 20 } }),
        );
        const begun = performance.now();
        for (let sent = 0; sent < jobs; sent += jobsPerBatch) {
            const ids = await submitAll(cell, work.slice(sent, sent + jobsPerBatch));
            await waitAll(cell, ids.values());
        }
        const worked = await readAll();
        const jobSeconds = (performance.now() - begun) / 1_000;
        add(
            "scheduler with a shard of 30",
            "processor a job of one task",
            (worked.owner.processor - live.owner.processor) / jobs * 1e6,
            "us",
        );
        add(
            "gateway",
            "processor a job (submit and wait)",
            (worked.gateway.processor - live.gateway.processor) / jobs * 1e6,
            "us",
        );
        add("platform", "writes a job in this run", (worked.counts.writes - live.counts.writes) / jobs, "");
        add(
            "platform",
            "bytes written a job in this run",
            (worked.counts.bytesWritten - live.counts.bytesWritten) / jobs,
            "bytes",
        );
        add(
            "platform",
            "writes a second while jobs ran",
            (worked.counts.writes - live.counts.writes) / jobSeconds,
            "/s",
        );
        add("platform", "jobs a second in this run", jobs / jobSeconds, "/s");
        return slopes;
    }
    finally {
        await cell.stop();
        cell.removeFiles();
    }
};
