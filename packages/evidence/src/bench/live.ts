/** Latency of live requests under load, simulated in virtual time with the real slot broker and slot ledger. */
import {
    type ProcessId,
    processId,
    SeededRandom,
    type ServiceInstance,
    SlotLedger,
    type TaskId,
    workerId,
} from "@pebbledale/core";
import { SlotBroker } from "@pebbledale/gateway";
import { build } from "hdr-histogram-js";
import { atLeast, atMost, type Figure, figure } from "./figures.js";
import { VirtualClock } from "./virtual/index.js";

const instanceCount = 30;
const slotsPerInstance = 4;
const meanServiceTime = 40;
const gatewayCount = 3;
const duration = 20_000;
const warmUp = 2_000;
const slotGrant = 10_000;
const waitLimit = 200;
const loads = [0.7, 1, 1.5, 3];
/** Maximum number of retries of one request. */
const maxRetries = 5;

interface SimulationResult {
    readonly p50: number;
    readonly p99: number;
    readonly answeredPerSecond: number;
    readonly refusedShare: number;
}

interface SimulationOptions {
    readonly load: number;
    /** Whether refused callers retry after the time in the refusal. */
    readonly retries: boolean;
    readonly waitLimit: number;
}

/**
 * Simulates 20 s at a load, as a multiple of capacity. Latencies are in milliseconds, each from the last retry to the
 * answer.
 */
const simulate = async (
    { load, retries, waitLimit }: SimulationOptions,
): Promise<SimulationResult> => {
    const clock = new VirtualClock();
    const random = new SeededRandom(Math.round(load * 100));
    const ledger = new SlotLedger(0);
    const end = new AbortController();
    const instances: ServiceInstance[] = Array.from({ length: instanceCount }, (_, index) => ({
        task: `shard-0.1.1/${index}` as TaskId,
        worker: workerId(`worker-${index}`),
        address: "",
        dataHall: `hall-${index % gatewayCount}`,
        slots: slotsPerInstance,
    }));
    const inUse = new Map<TaskId, number>();
    const brokers = Array.from({ length: gatewayCount }, (_, index) => {
        const gateway: ProcessId = processId(`gateway-${index}`);
        return new SlotBroker({
            clock,
            signal: end.signal,
            gateway,
            dataHall: `hall-${index}`,
            waitLimit: () => waitLimit,
            requestSlots: async request => {
                await clock.sleep(1);
                return {
                    grants: ledger.acquire(request, instances, clock.monotonic(), slotGrant),
                    duration: slotGrant,
                };
            },
        });
    });
    brokers.forEach(broker => void broker.run());
    const latencies = build();
    let answered = 0;
    let refused = 0;
    let sent = 0;
    const drawExponential = (mean: number) => -Math.log(1 - random.next()) * mean;
    const send = async (broker: SlotBroker, sentAt: number, retryCount: number): Promise<void> => {
        const isCounted = sentAt > warmUp;
        sent += isCounted ? 1 : 0;
        const outcome = await broker.acquire();
        if (outcome.kind !== "slot") {
            refused += isCounted ? 1 : 0;
            if (retries && retryCount < maxRetries) {
                await clock.sleep("retryAfter" in outcome ? outcome.retryAfter : 1_000);
                return send(broker, clock.monotonic(), retryCount + 1);
            }
            return;
        }
        const serviceTime = drawExponential(meanServiceTime);
        const { task } = outcome.slot;
        inUse.set(task, (inUse.get(task) ?? 0) + 1);
        if (inUse.get(task)! > slotsPerInstance) {
            throw new Error("instance got more requests than it has slots");
        }
        await clock.sleep(serviceTime);
        inUse.set(task, inUse.get(task)! - 1);
        broker.release(outcome.slot, serviceTime, false);
        if (isCounted) {
            answered++;
            latencies.recordValue(Math.max(1, Math.round(clock.monotonic() - sentAt)));
        }
    };
    const arrivalRate = load * instanceCount * slotsPerInstance / meanServiceTime;
    const arrive = (): void => {
        if (clock.monotonic() < duration) {
            void send(brokers[Math.floor(random.next() * gatewayCount)], clock.monotonic(), 0);
            clock.after(drawExponential(1 / arrivalRate), arrive);
        }
    };
    clock.after(200, arrive);
    await clock.runUntilSettled(duration);
    end.abort();
    return {
        p50: latencies.getValueAtPercentile(50),
        p99: latencies.getValueAtPercentile(99),
        answeredPerSecond: answered / (duration - warmUp) * 1_000,
        refusedShare: refused / Math.max(1, sent),
    };
};

/** Measures latency and refusals at several loads, and throughput when refused callers retry. */
export const benchLive = async (): Promise<Figure[]> => {
    const figures: Figure[] = [];
    const p99 = new Map<number, number>();
    const answered: number[] = [];
    for (const load of loads) {
        const result = await simulate({ load, retries: false, waitLimit });
        p99.set(load, result.p99);
        answered.push(result.answeredPerSecond);
        const name = `live prompts at ${load * 100}% of capacity`;
        figures.push(figure(`${name}, send to answer p50`, result.p50, "ms"));
        figures.push(figure(`${name}, send to answer p99`, result.p99, "ms"));
        figures.push(figure(`${name}, refused`, result.refusedShare * 100, "%"));
    }
    figures.push(atMost("p99 at 300% over p99 at 70%", p99.get(3)! / p99.get(0.7)!, "times", 2));
    const unlimited = await simulate({ load: 3, retries: false, waitLimit: Infinity });
    figures.push(figure("baseline at 300%: first come, first served without refusal, p99", unlimited.p99, "ms"));
    const withRetries = await simulate({ load: 3, retries: true, waitLimit });
    const best = Math.max(...answered);
    figures.push(
        atLeast(
            "answered at 300% with refused callers coming back, over the best",
            withRetries.answeredPerSecond / best * 100,
            "%",
            90,
        ),
    );
    return figures;
};
