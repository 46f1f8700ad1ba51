/** A TCP relay that can be cut: stands between one process and an outside system. */
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

/** See the module's comment. */
export class Relay {
    readonly #sockets = new Set<Socket>();
    readonly #server: Server;
    #isCut = false;
    #listening: Promise<string> | undefined;

    constructor(target: string) {
        const [host, port] = target.split(":");
        this.#server = createServer(near => {
            if (this.#isCut) {
                near.destroy();
                return;
            }
            const far = connect(Number(port), host);
            this.#join(near, far);
        });
    }

    /** Listens on loopback; resolves to the address, the same one when called again. */
    listen(): Promise<string> {
        this.#listening ??= new Promise(resolve => {
            this.#server.listen(
                0,
                "127.0.0.1",
                () => resolve(`127.0.0.1:${(this.#server.address() as AddressInfo).port}`),
            );
        });
        return this.#listening;
    }

    /** Cuts all connections and lets none through, or lets them through again. */
    setCut(isCut: boolean): void {
        this.#isCut = isCut;
        if (isCut) {
            this.#sockets.forEach(socket => socket.destroy());
        }
    }

    /** Ends the relay. */
    close(): void {
        this.setCut(true);
        this.#server.close();
    }

    #join(near: Socket, far: Socket): void {
        for (const [from, to] of [[near, far], [far, near]]) {
            this.#sockets.add(from);
            from.pipe(to);
            from.on("error", () => to.destroy());
            from.on("close", () => {
                this.#sockets.delete(from);
                to.destroy();
            });
        }
    }
}
