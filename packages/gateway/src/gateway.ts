/** Runs a gateway process from its settings file until SIGTERM or SIGINT. */
import { logEvents, settingsRevision, SystemClock, SystemRandom } from "@pebbledale/core";
import {
    BurnRecorder,
    createAbortController,
    createAdministrationServer,
    createStopSignal,
    type EventLogger,
    gatewaySchema,
    HttpPlatformStore,
    isAddressInUse,
    listenAt,
    Metrics,
    type PrintLine,
    type ProgramValues,
    runFromFile,
    SettingsWatch,
    waitForAbort,
} from "@pebbledale/runtime";
import type { FastifyInstance } from "fastify";
import { addJobRoutes, createCallerServer, sendError, ServiceRoutes } from "./callers/index.js";
import { OwnerDirectory } from "./owners/index.js";

type Values = ProgramValues<typeof gatewaySchema>;

const noOwnerRetryAfter = 1_000;

/**
 * Runs a gateway, or only validates its settings file if `checkOnly` is set. Resolves to the process exit code; `print`
 * writes validation errors for the operator.
 */
export const runGateway = (file: string, checkOnly: boolean, print: PrintLine): Promise<number> =>
    runFromFile({ name: "pebbledale-gateway", schema: gatewaySchema, serve }, file, checkOnly, print);

const serve = async (values: Values, logger: EventLogger, print: PrintLine): Promise<void> => {
    const stop = createStopSignal();
    const background = createAbortController();
    const clock = new SystemClock();
    const random = new SystemRandom();
    const metrics = new Metrics();
    const store = new HttpPlatformStore(values["platform.address"], values["platform.timeout"], metrics);
    const owners = new OwnerDirectory({
        store,
        clock,
        logger,
        schedulerAddresses: values["peers.schedulers"],
        signal: background.signal,
    });
    const sharedSettings = new SettingsWatch({
        store,
        clock,
        logger,
        signal: background.signal,
        fetchPeerSettings: () => owners.querySettings(),
    });
    const burnRecorder = new BurnRecorder(clock);
    const serviceRoutes = new ServiceRoutes({
        owners,
        clock,
        random,
        logger,
        metrics,
        burnRecorder,
        shardCount: values["cell.shards"],
        gateway: values["process.name"],
        dataHall: values["process.data_hall"],
        settingsPath: { region: values["process.region"], site: values["process.site"] },
        settingsTree: () => sharedSettings.tree,
        onSettingsRevision: revision => void sharedSettings.onPeerRevision(settingsRevision(revision)),
        signal: background.signal,
    });
    const callerServer = createCallerServer({ bodyLimit: values["listen.body_limit"], logger, random });
    refuseWithoutSettings(callerServer, sharedSettings);
    void callerServer.register(async scope =>
        addJobRoutes(scope, { owners, clock, random, shardCount: values["cell.shards"] })
    );
    void callerServer.register(async scope => serviceRoutes.addTo(scope));
    const administration = createAdministrationServer({
        metrics,
        unreadyReason: () => stop.aborted ? "stopping" : sharedSettings.revision === 0 ? "no settings yet" : undefined,
    });
    administration.get("/burn", async () => burnRecorder.buckets());
    metrics.gauge("pebbledale_settings_revision", "Revision of the settings in force", () => sharedSettings.revision);
    await listenOnBoth(administration, callerServer, values, print);
    logger.log(logEvents.processStarted, { address: values["listen.callers"] });
    const backgroundTasks = [sharedSettings.run(), owners.run()];
    await waitForAbort(stop);
    logger.log(logEvents.processStopping);
    // Keeps serving until the load balancer has noticed that this gateway is no longer ready.
    await clock.sleep(values["listen.drain"]);
    await Promise.race([callerServer.close(), clock.sleep(values["process.stop_within"])]);
    background.abort();
    await Promise.all(backgroundTasks);
    await Promise.all([owners.close(), serviceRoutes.forwarder.close(), store.close(), administration.close()]);
};

/** Rejects all requests until the first settings revision has been read: defaults may differ from what is in force. */
const refuseWithoutSettings = (callerServer: FastifyInstance, sharedSettings: SettingsWatch): void => {
    callerServer.addHook("onRequest", async (_request, reply) => {
        if (sharedSettings.revision > 0) {
            return undefined;
        }
        return sendError(reply, "no-owner", { reason: "no settings yet", retryAfterMilliseconds: noOwnerRetryAfter });
    });
};

const listenOnBoth = async (
    administration: FastifyInstance,
    callerServer: FastifyInstance,
    values: Values,
    print: PrintLine,
): Promise<void> => {
    try {
        await listenAt(administration, values["listen.administration"]);
        await listenAt(callerServer, values["listen.callers"]);
    }
    catch (cause) {
        if (isAddressInUse(cause)) {
            print(`${(cause as Error).message}: does another process run with the same settings?`);
        }
        throw cause;
    }
};
