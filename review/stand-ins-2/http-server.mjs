/** A JSON server on a loopback address. */
import { createServer } from "node:http";

const readBody = request =>
    new Promise((resolve, reject) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => resolve(Buffer.concat(chunks).toString("utf8")));
        request.on("error", reject);
    });

/**
 * Serves JSON calls. `handle` gets method, path, query, body and headers, and returns a status and a body, or undefined to give no answer.
 */
export class JsonServer {
    #server;
    #sockets = new Set();

    constructor(handle) {
        this.#server = createServer({ keepAliveTimeout: 60_000 }, async (request, response) => {
            try {
                const url = new URL(request.url, "http://x");
                const text = await readBody(request);
                const answer = await handle({
                    method: request.method,
                    path: url.pathname,
                    query: url.searchParams,
                    body: text === "" ? {} : JSON.parse(text),
                    headers: request.headers,
                    closed: () => request.socket.destroyed || request.socket.readableEnded,
                    onClose: listener => response.on("close", listener),
                });
                if (answer !== undefined && !response.destroyed) {
                    const body = JSON.stringify(answer[1] ?? {});
                    response.writeHead(answer[0], {
                        "content-type": "application/json",
                        "content-length": Buffer.byteLength(body),
                    });
                    response.end(body);
                }
            }
            catch (cause) {
                process.stderr.write(`stand-in: ${cause.stack}\n`);
                response.destroy();
            }
        });
        this.#server.on("connection", socket => {
            this.#sockets.add(socket);
            socket.on("close", () => this.#sockets.delete(socket));
            socket.on("error", () => undefined);
        });
    }

    /** Resolves to the address. Port 0 selects a free one. */
    listen(host = "127.0.0.1", port = 0) {
        return new Promise((resolve, reject) => {
            this.#server.once("error", reject);
            this.#server.listen(port, host, () => resolve(`${host}:${this.#server.address().port}`));
        });
    }

    /** Resets all open connections. */
    resetConnections() {
        this.#sockets.forEach(socket => socket.resetAndDestroy());
    }

    close() {
        this.resetConnections();
        return new Promise(resolve => this.#server.close(resolve));
    }
}
