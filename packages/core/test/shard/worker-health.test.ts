import { expect } from "earl";
import { describe, it } from "node:test";
import { jobId, workerId } from "../../src/index.js";
import { WorkerHealth } from "../../src/worker-health/index.js";

const worker = (index: number) => workerId(`worker-${index}`);
const job = (index: number) => jobId(`job-${index}`);

describe("WorkerHealth", () => {
    it("detects a worker on which different jobs fail", () => {
        const health = new WorkerHealth();
        const found = Array.from({ length: 4 }, (_, index) => health.recordFailure(worker(1), job(index)));
        expect(found).toEqual([false, false, false, true]);
    });

    it("attributes failures to a job that fails on two workers", () => {
        const health = new WorkerHealth();
        for (let index = 0; index < 20; index++) {
            health.recordFailure(worker(index % 2), job(index >> 1));
        }
        expect(health.isFailing(worker(0))).toEqual(false);
        expect(health.isFailing(worker(1))).toEqual(false);
    });

    it("considers no worker failing when many different jobs fail everywhere at once", () => {
        const health = new WorkerHealth();
        const found = Array.from({ length: 200 }, (_, index) => health.recordFailure(worker(index % 30), job(index)));
        expect(found.filter(isFailing => isFailing).length).toEqual(0);
    });

    it("attributes failures to the workers again once the job succeeds elsewhere", () => {
        const health = new WorkerHealth();
        for (let index = 0; index < 4; index++) {
            health.recordFailure(worker(0), job(index));
            health.recordFailure(worker(1), job(index));
            health.recordSuccess(worker(2), job(index));
        }
        expect(health.isFailing(worker(0))).toEqual(true);
    });

    it("counts consecutive quarantines", () => {
        const health = new WorkerHealth();
        expect(health.beginQuarantine(worker(1))).toEqual(1);
        expect(health.beginQuarantine(worker(1))).toEqual(2);
    });
});
