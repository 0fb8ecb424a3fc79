package org.zinniatack.core.routing;

/**
 * A target as a router sees it.
 */
public interface Candidate {

	/**
	 * Returns the failure domain.
	 * @return the failure domain of the target's VM
	 */
	String failureDomain();

	/**
	 * Returns whether the target may get a request now.
	 * @return true if it has room, is healthy and is not leaving
	 */
	boolean isAvailable();

	/**
	 * Returns how full the target is.
	 * @return the running requests divided by the room, 0 for an idle target
	 */
	double load();

	/**
	 * Returns the target's id.
	 * @return the id
	 */
	String targetId();

}
