/** Child processes. */
import { type ChildProcess, spawn } from "node:child_process";
import { openSync, writeSync } from "node:fs";

/** Time from SIGTERM to SIGKILL, in milliseconds. */
const exitTimeout = 30_000;

/** A child process that runs a Node.js script, with its output in a log file. */
export class ManagedProcess {
    readonly #process: ChildProcess;
    readonly #exited: Promise<number | undefined>;
    readonly #firstLine: Promise<string>;
    #hasExited = false;

    /** `preload` is a module that Node.js imports before the script. */
    constructor(
        readonly name: string,
        script: string,
        parameters: readonly string[],
        logFile: string,
        preload?: string,
    ) {
        const log = openSync(logFile, "a");
        const nodeArguments = preload === undefined ? [] : ["--import", preload];
        this.#process = spawn(process.execPath, [...nodeArguments, script, ...parameters], {
            stdio: ["pipe", "pipe", log],
        });
        this.#exited = new Promise(resolve =>
            this.#process.once("exit", code => {
                this.#hasExited = true;
                resolve(code ?? undefined);
            })
        );
        this.#firstLine = new Promise(resolve => {
            let text = "";
            this.#process.stdout!.on("data", (chunk: Buffer) => {
                writeSync(log, chunk);
                text += chunk.toString();
                if (text.includes("\n")) {
                    resolve(text.slice(0, text.indexOf("\n")));
                }
            });
        });
    }

    /** Resolves to the first line on standard output; never settles if the process exits before it prints one. */
    firstLine(): Promise<string> {
        return this.#firstLine;
    }

    /** Kills the process with SIGKILL; resolves once it has exited. */
    async kill(): Promise<void> {
        this.#process.kill("SIGKILL");
        await this.#exited;
    }

    /** Stops the process with SIGTERM; resolves to its exit code, or undefined when a signal ended it. */
    async stop(): Promise<number | undefined> {
        this.#process.kill("SIGTERM");
        const timer = setTimeout(() => this.#process.kill("SIGKILL"), exitTimeout);
        const code = await this.#exited;
        clearTimeout(timer);
        return code;
    }

    /** Suspends the process with SIGSTOP. */
    suspend(): void {
        this.#process.kill("SIGSTOP");
    }

    /** Resumes the process after {@link suspend}. */
    resume(): void {
        this.#process.kill("SIGCONT");
    }

    get hasExited(): boolean {
        return this.#hasExited;
    }
}
