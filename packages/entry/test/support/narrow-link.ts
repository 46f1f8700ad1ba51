/** A loopback proxy that passes a bounded number of bytes a second each way, and can be cut. */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

const millisecondsPerSecond = 1_000;
/** Bytes passed on at once. */
const portionBytes = 4_096;

/** A running proxy. */
export interface NarrowLink {
    readonly address: string;
    /** Passes on nothing more, in either direction, without closing connections. */
    cut(): void;
    close(): void;
}

/** Starts a proxy in front of `target`; like a narrow link, it buffers little itself. */
export const startNarrowLink = async (target: string, bytesPerSecond: number): Promise<NarrowLink> => {
    const [host, port] = target.split(":");
    const sockets: Socket[] = [];
    let isCut = false;
    const pass = async (from: Socket, to: Socket): Promise<void> => {
        for await (const chunk of from as AsyncIterable<Buffer>) {
            for (let next = 0; next < chunk.length && !isCut; next += portionBytes) {
                const portion = chunk.subarray(next, next + portionBytes);
                const delay = portion.length / bytesPerSecond * millisecondsPerSecond;
                await new Promise(resolve => setTimeout(resolve, delay));
                to.write(portion);
            }
        }
        to.end();
    };
    const server = createServer(near => {
        const far = connect(Number(port), host);
        sockets.push(near, far);
        [pass(near, far), pass(far, near)].forEach(passing => passing.catch(() => undefined));
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    return {
        address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
        cut: () => isCut = true,
        close: () => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        },
    };
};
