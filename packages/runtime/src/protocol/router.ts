/** The trpc router of a scheduler. */
import { initTRPC } from "@trpc/server";
import type {
    AcquireRequest,
    JobRequest,
    SchedulerService,
    SubmitRequest,
    UnrepeatableRecordRequest,
    WaitRequest,
} from "./types.js";

const trpc = initTRPC.create();

/** Input parser without validation: all messages come from processes of the same version. */
const uncheckedInput = <Message>() => (input: unknown): Message => input as Message;

/** Creates the router; procedure names are part of the protocol. */
export const createSchedulerRouter = (service: SchedulerService) =>
    trpc.router({
        submit: trpc.procedure.input(uncheckedInput<SubmitRequest>()).mutation(({ input }) => service.submit(input)),
        view: trpc.procedure.input(uncheckedInput<JobRequest>()).query(({ input }) => service.view(input)),
        wait: trpc.procedure.input(uncheckedInput<WaitRequest>()).query(({ input }) => service.wait(input)),
        cancel: trpc.procedure.input(uncheckedInput<JobRequest>()).mutation(({ input }) => service.cancel(input)),
        acquire: trpc.procedure.input(uncheckedInput<AcquireRequest>()).mutation(({ input }) => service.acquire(input)),
        beginOnce: trpc.procedure.input(uncheckedInput<UnrepeatableRecordRequest>()).mutation(({ input }) =>
            service.beginUnrepeatable(input)
        ),
        endOnce: trpc.procedure.input(uncheckedInput<UnrepeatableRecordRequest>()).mutation(({ input }) =>
            service.endUnrepeatable(input)
        ),
        status: trpc.procedure.query(() => service.status()),
        currentSettings: trpc.procedure.query(() => service.currentSettings()),
        ownedShards: trpc.procedure.query(() => service.ownedShards()),
    });

/** Type of the router, from which clients derive their procedures. */
export type SchedulerRouter = ReturnType<typeof createSchedulerRouter>;
