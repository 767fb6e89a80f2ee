/** Services that an operator offers, with their routes, client accounts and targets. */
package io.endiveshed.coordination.service;
