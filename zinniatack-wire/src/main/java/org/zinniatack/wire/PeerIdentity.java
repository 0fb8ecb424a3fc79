package org.zinniatack.wire;

import java.util.Objects;

/**
 * Who is at one end of a connection.
 *
 * @param role the role, such as control, entry or agent
 * @param nodeId the id of the process
 */
public record PeerIdentity(String role, String nodeId) {

	/**
	 * Checks the arguments.
	 */
	public PeerIdentity {
		Objects.requireNonNull(role, "role");
		Objects.requireNonNull(nodeId, "nodeId");
	}

}
