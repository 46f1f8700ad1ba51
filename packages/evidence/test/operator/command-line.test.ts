import { acceptSettings, settingsRevision, SystemClock } from "@pebbledale/core";
import { HttpPlatformStore } from "@pebbledale/runtime";
import { PlatformStandIn } from "@pebbledale/stand-ins";
import { expect } from "earl";
import { execFile } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { after, before, describe, it } from "node:test";
import { fileURLToPath } from "node:url";

interface Run {
    readonly code: number;
    readonly out: string;
    readonly err: string;
}

const mainScriptOf = (program: string): string =>
    join(dirname(fileURLToPath(import.meta.resolve(`@pebbledale/${program}`))), "cli", "main.js");

const run = (program: string, parameters: readonly string[]): Promise<Run> =>
    new Promise(resolve => {
        execFile(process.execPath, [mainScriptOf(program), ...parameters], (error, out, err) => {
            resolve({ code: typeof error?.code === "number" ? error.code : 0, out, err });
        });
    });

describe("command line", () => {
    const folder = mkdtempSync(join(tmpdir(), "pebbledale-cli-"));
    const config = join(folder, "pebbledale.ini");
    const platform = new PlatformStandIn();
    const file = (name: string, text: string): string => {
        const path = join(folder, name);
        writeFileSync(path, text);
        return path;
    };
    const runOperator = (...parameters: string[]) => run("operator", [...parameters, "--config", config]);

    before(async () => {
        const address = await platform.listen();
        writeFileSync(config, `[platform]\naddress = ${address}\ntimeout = 500ms\n[peers]\nschedulers = 127.0.0.1:1\n`);
    });
    after(async () => {
        await platform.close();
        rmSync(folder, { recursive: true });
    });

    it("prints its version and its help", async () => {
        expect((await run("operator", ["--version"])).out.trim()).toEqual("0.1.0");
        const help = await run("operator", ["--help"]);
        expect(help.code).toEqual(0);
        expect(help.out.includes("settings accept")).toEqual(true);
    });

    it("explains a job from log files without settings, and names a file that cannot be read", async () => {
        const log = file(
            "vm.log",
            `{"time":1,"event":4001,"name":"vm","job":"j","msg":"a job was accepted"}\nno line\n`,
        );
        const answer = await run("operator", ["explain", "j", "--log", log]);
        expect([answer.code, answer.out.includes("a job was accepted")]).toEqual([0, true]);
        expect(answer.err.includes("1 of 2 lines are no log lines: ") && answer.err.includes("vm.log:2")).toEqual(true);
        const missing = await run("operator", ["explain", "j", "--log", join(folder, "missing.log")]);
        expect([missing.code, missing.err.includes("missing.log")]).toEqual([1, true]);
    });

    it("prints the location of each finding in its settings file and exits with 2", async () => {
        const wrong = file("wrong.ini", "[platform]\naddress = nowhere\nspeed = 3\n");
        const answer = await run("operator", ["status", "--config", wrong]);
        expect(answer.code).toEqual(2);
        expect(answer.err.split("\n").slice(0, 3).map(line => line.replace(folder, ""))).toEqual([
            "/wrong.ini:1: [peers] schedulers: must be set",
            `/wrong.ini:2: [platform] address: "nowhere" is no IP number and port, as in 127.0.0.1:7000`,
            "/wrong.ini:3: [platform] speed: no such key",
        ]);
    });

    it("accepts a tree, explains a value, and shows what has changed when another tree was accepted first", async () => {
        const first = file("first.ini", "[organisation]\nlease.duration = 20s\n");
        const second = file(
            "second.ini",
            "[organisation]\nlease.duration = 30s\n[site luzon/pasig]\nplacement.preference = pack\n",
        );
        expect((await runOperator("settings", "accept", first, "--base", "0")).out).toEqual("revision 1 is in force\n");
        expect((await runOperator("settings", "accept", second, "--base", "1", "--author", "ana")).code).toEqual(0);
        const superseded = await runOperator("settings", "accept", first, "--base", "1", "--json");
        expect(superseded.code).toEqual(1);
        expect(superseded.err.includes("revision 2 is in force, ana accepted it")).toEqual(true);
        expect((JSON.parse(superseded.out) as { changedSince: unknown[]; }).changedSince.length).toEqual(2);
        const explained = await runOperator(
            "settings",
            "explain",
            "placement.preference",
            "--site",
            "luzon/pasig",
            "--json",
        );
        expect((JSON.parse(explained.out) as { values: unknown[]; }).values).toEqual([
            { key: "placement.preference", value: "pack", section: "site luzon/pasig", line: 4 },
        ]);
        const history = await runOperator("settings", "history", "--json");
        const { revisions } = JSON.parse(history.out) as { revisions: { revision: number; }[]; };
        expect(revisions.map(entry => entry.revision)).toEqual([2, 1]);
        const diff = await runOperator("settings", "diff", first, "--json");
        expect(JSON.parse(diff.out)).toEqual({
            base: 2,
            differences: [
                { section: "organisation", key: "lease.duration", before: "30s", after: "20s" },
                { section: "site luzon/pasig", key: "placement.preference", before: "pack" },
            ],
        });
    });

    it("rejects a tree with findings and an unknown revision", async () => {
        const wrong = file("tree.ini", "[organisation]\nlease.duration = -1s\n[village x]\n");
        const answer = await runOperator("settings", "accept", wrong, "--base", "2");
        expect(answer.code).toEqual(1);
        expect(answer.err.trim().split("\n").length).toEqual(2);
        const unknown = await runOperator("settings", "get", "--revision", "77");
        expect(unknown.code).toEqual(1);
        expect(unknown.err.startsWith("No such revision")).toEqual(true);
    });

    it("names a tree file that cannot be read", async () => {
        const missing = join(folder, "missing.ini");
        for (const parameters of [["accept", missing, "--base", "2"], ["diff", missing]]) {
            const answer = await runOperator("settings", ...parameters);
            expect(answer.code).toEqual(1);
            expect(answer.err.startsWith("The file cannot be read: ")).toEqual(true);
            expect(answer.err.includes("missing.ini") && !answer.err.includes("    at ")).toEqual(true);
        }
    });

    it("refuses a site that is not given as REGION/SITE", async () => {
        for (const site of ["luzon", "luzon/", "/pasig", "luzon/pasig/batch"]) {
            for (const command of [["settings", "explain"], ["report", "burn"]]) {
                const answer = await runOperator(...command, "--site", site);
                expect([site, answer.code, answer.err.split(":")[0]]).toEqual([site, 1, "No such form of a site"]);
            }
        }
    });

    it("does not count a gateway that answers with an error among those that answered", async () => {
        const gateway = createServer((_request, response) => {
            response.writeHead(503, { "content-type": "application/json" }).end(`{"error":"stopping"}`);
        });
        await new Promise<void>(resolve => gateway.listen(0, "127.0.0.1", resolve));
        const { port } = gateway.address() as AddressInfo;
        const peers = `[peers]\nschedulers = 127.0.0.1:1\ngateways = 127.0.0.1:${port}\n`;
        const withGateway = file("gateway.ini", `[platform]\naddress = ${platform.address}\n${peers}`);
        const answer = await run("operator", ["report", "burn", "--json", "--config", withGateway]);
        gateway.close();
        expect(answer.code).toEqual(0);
        const report = JSON.parse(answer.out) as { asked: number; answered: number; rows: unknown[]; };
        expect([report.asked, report.answered, report.rows]).toEqual([1, 0, []]);
    });

    it("shows the findings of a tree in force that is no longer valid instead of treating it as empty", async () => {
        const other = new PlatformStandIn();
        const address = await other.listen();
        const settings = file("other.ini", `[platform]\naddress = ${address}\n[peers]\nschedulers = 127.0.0.1:1\n`);
        const store = new HttpPlatformStore(address, 500);
        await acceptSettings({
            store,
            clock: new SystemClock(),
            base: settingsRevision(0),
            text: "[organisation]\nlease.old = 20s\n",
            author: "ana",
            note: "",
            nonce: "1",
            settleWithin: 1_000,
        });
        await store.close();
        const tree = file("valid.ini", "[organisation]\nlease.duration = 20s\n");
        for (const parameters of [["diff", tree], ["explain"], ["accept", tree, "--base", "0"]]) {
            const answer = await run("operator", ["settings", ...parameters, "--config", settings]);
            expect([parameters[0], answer.code]).toEqual([parameters[0], 1]);
            expect(answer.err.includes("revision 1:2: [organisation] lease.old: no such key")).toEqual(true);
        }
        await other.close();
    });

    it("reports when no scheduler answers", async () => {
        const answer = await runOperator("status");
        expect(answer.code).toEqual(1);
        expect(answer.out.includes("no answer")).toEqual(true);
    });

    it("reports when the platform does not answer", async () => {
        platform.control({ outage: true });
        const answer = await runOperator("settings", "get");
        platform.control({ outage: false });
        expect(answer.code).toEqual(1);
        expect(answer.err.startsWith("The platform does not answer")).toEqual(true);
    });

    it("rejects a second gateway at the same address with the reason", async () => {
        const { address } = platform;
        const settings = [
            "[process]",
            "name = gateway-1",
            "region = luzon",
            "site = pasig",
            "data_hall = hall-1",
            "[platform]",
            `address = ${address}`,
            "[peers]",
            "schedulers = 127.0.0.1:1",
            "[listen]",
            `callers = ${address}`,
            "administration = 127.0.0.1:0",
        ];
        const answer = await run("gateway", [file("second.ini", settings.join("\n"))]);
        expect(answer.code).toEqual(1);
        expect(answer.err.includes("does another process run with the same settings?")).toEqual(true);
    });

    for (const program of ["gateway", "scheduler"]) {
        it(`${program} --check prints all findings and exits with 2`, async () => {
            const answer = await run(program, [
                "--check",
                file("program.ini", "[process]\nname = a b\n[platform]\ntimeout = 5\n"),
            ]);
            expect(answer.code).toEqual(2);
            expect(answer.err.includes(`program.ini:2: [process] name: "a b" is no name`)).toEqual(true);
            expect(answer.err.includes(`program.ini:4: [platform] timeout: "5" is no duration`)).toEqual(true);
            expect(answer.err.includes("[peers] schedulers: must be set")).toEqual(true);
        });
    }
});
