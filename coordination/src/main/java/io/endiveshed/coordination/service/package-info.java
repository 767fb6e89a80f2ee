/** Services that an operator offers: routes, client accounts and the targets behind them. */
package io.endiveshed.coordination.service;
