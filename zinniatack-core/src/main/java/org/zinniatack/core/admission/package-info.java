/**
 * Admission control: rate, concurrency and spending limits of customers.
 */
@NullMarked
package org.zinniatack.core.admission;

import org.jspecify.annotations.NullMarked;
