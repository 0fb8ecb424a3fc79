/**
 * Execution of the items of jobs on targets.
 */
@NullMarked
package org.zinniatack.direct.job;

import org.jspecify.annotations.NullMarked;
