package org.zinniatack.wire;

import java.util.Objects;

/**
 * Identifies the process at one end of a connection.
 *
 * @param role the role of the process, such as control, entry or agent
 * @param nodeId the id of the process
 */
public record PeerIdentity(String role, String nodeId) {

	/**
	 * Rejects null arguments.
	 */
	public PeerIdentity {
		Objects.requireNonNull(role, "role");
		Objects.requireNonNull(nodeId, "nodeId");
	}

}
