import { expect } from "earl";
import { createRequire } from "node:module";
import { describe, it } from "node:test";
import { createAdministrationServer, Metrics } from "../../src/index.js";

const { cache } = createRequire(import.meta.url);
const unusedCompilers = ["@fastify/ajv-compiler", "@fastify/fast-json-stringify-compiler"];

describe("the administration server", () => {
    const server = createAdministrationServer({
        metrics: new Metrics({ hasProcessMetrics: false }),
        unreadyReason: () => "it starts",
    });

    it("serves without loading schema compilers", async () => {
        const { statusCode, body } = await server.inject({ url: "/readyz" });
        expect(statusCode).toEqual(503);
        expect(JSON.parse(body)).toEqual({ ready: false, reason: "it starts" });
        const loaded = Object.keys(cache).filter(file => unusedCompilers.some(name => file.includes(name)));
        expect(loaded).toEqual([]);
    });

    it("answers paths that it does not have", async () => {
        expect((await server.inject({ url: "/no-such-path" })).statusCode).toEqual(404);
    });
});
