/** Times, sizes and weights of questions to the advice service that are not settings. Times are in milliseconds. */
/** Fewest workers that a first question names: the room of a few may be gone by the time of the answer. */
export const minAdviceWorkers = 24;
/** A first question names workers whose free room is this many times what the permitted ones of them need to have. */
export const capacityMargin = 1.5;
/**
 * The same for a gang, whose members need room at one moment: some of it is gone by the time of the answer, and a second
 * question takes most of a second more.
 */
export const gangCapacityMargin = 3;
/** A step has enough permitted workers once these, were they empty, hold it this many times: it can wait for some. */
export const choiceMargin = 2.5;
/** Share of workers that is taken to be permitted before a queue's first answer. */
export const initialPermittedShare = 0.3;
/** Least share that is believed, so that a queue whose answers were poor still asks. */
export const minPermittedShare = 0.1;
/** Weight of one answer in the share that is learned for its queue. */
export const shareWeight = 0.2;
/** A step that found no room is asked about again at most this often. */
export const adviceInterval = 40;
/** Tickets for room that is expected are asked for this much earlier than the question takes. */
export const ticketLead = 80;
/**
 * Of a gang's tickets those that hold for less than this share of their time are renewed with the first that runs out. Asked for one by
 * one, they hardly ever hold at one moment, and other steps wait behind the questions.
 */
export const renewalShare = 0.5;
