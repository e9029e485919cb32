package org.redwinghook.runtime.config;

/** Handles the connections between processes, the messages received on them and changes of the number of members. */
public interface PeerListener extends ConfigurationExchange {

    /**
     * Updates the number of processes in the deployment.
     *
     * @param liveRouters number of live routers, including this process if it is a router
     * @param peers number of other processes that are connected or that may still connect
     */
    void updateMemberCounts(int liveRouters, int peers);
}
