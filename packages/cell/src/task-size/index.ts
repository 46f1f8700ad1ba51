/** Amounts of resources. */

/** Resources that a task needs or that a worker has. Stored with jobs. */
export interface TaskSize {
    readonly processorThousandths: number;
    readonly memoryMebibytes: number;
    readonly accelerators: number;
}
