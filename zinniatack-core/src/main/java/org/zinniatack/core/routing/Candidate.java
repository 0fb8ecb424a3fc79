package org.zinniatack.core.routing;

/**
 * The properties of a target that routers base their choice on.
 */
public interface Candidate {

	/**
	 * Returns the failure domain.
	 * @return the failure domain of the target's VM
	 */
	String failureDomain();

	/**
	 * Returns whether the target may get a request now.
	 * @return true if it has a free slot, is healthy and is not draining
	 */
	boolean isAvailable();

	/**
	 * Returns the utilisation of the target.
	 * @return the running requests divided by the number of slots, 0 for an idle target
	 */
	double load();

	/**
	 * Returns the target's id.
	 * @return the id
	 */
	String targetId();

}
