/**
 * Running the items of jobs.
 */
@NullMarked
package org.zinniatack.direct.job;

import org.jspecify.annotations.NullMarked;
