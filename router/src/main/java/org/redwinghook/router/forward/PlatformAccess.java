package org.redwinghook.router.forward;

/**
 * What a router uses of the platform that it runs on.
 *
 * @param store the platform's store
 * @param rolloutStore statuses of roll-outs in the store
 * @param originStore log of streams' origins in the store
 * @param decoder decodes the records of the store
 * @param protocol mapping of HTTP headers
 * @param memoryMover moves the memory of runs between engines
 * @param engineReports reads the reports of engines
 */
public record PlatformAccess(
        RecordStore store,
        RolloutStore rolloutStore,
        OriginStore originStore,
        RecordDecoder decoder,
        ForwardProtocol protocol,
        MemoryMover memoryMover,
        EngineReports engineReports) {}
