import { logEvents, ManualClock } from "@pebbledale/core";
import { expect } from "earl";
import { describe, it } from "node:test";
import { JournalOutageLog } from "../../src/owner/outage-log.js";
import { RecordingLogger } from "../support/index.js";

describe("the log of an owner whose journal stops", () => {
    it("has one line when it stops and one when it goes on, with how callers were answered meanwhile", () => {
        const clock = new ManualClock();
        const logger = new RecordingLogger();
        let silentFor = 0;
        const log = new JournalOutageLog({
            journal: { silentFor: () => silentFor, waitingFor: () => 12 },
            clock,
            logger,
        });
        log.check();
        clock.advance(1_000);
        silentFor = 600;
        log.check();
        log.check();
        log.noteRefused();
        log.noteRefused();
        log.noteUncertain();
        clock.advance(2_000);
        silentFor = 0;
        log.check();
        log.check();
        expect(logger.logged.map(({ event, fields }) => [event, fields])).toEqual([
            [logEvents.journalStalled, { silentFor: 600 }],
            [logEvents.journalResumed, { lasted: 2_600, refused: 2, uncertain: 1, oldest: 12 }],
        ]);
    });
});
