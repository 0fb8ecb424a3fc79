/**
 * Execution of the items of jobs on targets.
 */
@NullMarked
package org.zinniatack.gateway.job;

import org.jspecify.annotations.NullMarked;
