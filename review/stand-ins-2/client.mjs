/** A stand-in of a client. */
import { Agent, request } from "node:http";

const agent = new Agent({ keepAlive: true });

/** Makes a call; resolves to its status and body, or to status 0 without an answer. */
export const call = (front, method, path, { host, body, deadline = 3_000 } = {}) =>
    new Promise(resolve => {
        const [hostname, port] = front.split(":");
        const text = body === undefined ? undefined : JSON.stringify(body);
        const sent = request({
            hostname,
            port,
            method,
            path,
            agent,
            headers: {
                host,
                "x-request-deadline": String(deadline),
                ...(text === undefined
                    ? {}
                    : { "content-type": "application/json", "content-length": Buffer.byteLength(text) }),
            },
            timeout: deadline + 500,
        }, response => {
            const chunks = [];
            response.on("data", chunk => chunks.push(chunk));
            response.on("end", () => {
                const received = Buffer.concat(chunks).toString("utf8");
                resolve({ status: response.statusCode, body: received === "" ? {} : JSON.parse(received) });
            });
            response.on("error", () => resolve({ status: 0, body: {} }));
        });
        sent.on("timeout", () => sent.destroy());
        sent.on("error", () => resolve({ status: 0, body: {} }));
        sent.end(text);
    });
